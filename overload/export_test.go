package overload

// Slow reports whether a client reads its responses too slowly.
func (c *Client) Slow() bool { return c.slow }
