package overload

// Slow reports whether a client reads its responses more slowly than it requests them.
func (c *Client) Slow() bool { return c.slow }
