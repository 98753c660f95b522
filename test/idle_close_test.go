package test

import (
	"testing"
	"time"
)

// Closing idle client connections to make room must spare one with a request that has arrived but is still unread in the
// kernel, or is read but not yet handled by the loop. An earlier version closed such a connection, and the request got
// no answer.
func TestIdleEvictionSparesArrivedRequests(t *testing.T) {
	for name, hold := range map[string]func(*inProcessGateway) (release func()){
		"unread in the kernel": (*inProcessGateway).blockPoller,
		"queued for the loop": func(in *inProcessGateway) func() {
			return in.blockLoop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			in := newInProcessGateway(t, nil)
			in.setHandler(serveHit)
			c := in.client()
			c.send("images", object, 5*time.Second, "")
			if a := c.readAnswer(); a.err != "" {
				t.Fatalf("first request: answer %+v, want no error", a)
			}
			release := hold(in)
			defer release()
			if name == "unread in the kernel" {
				c.send("images", object, 5*time.Second, "")
				in.runOnLoop(in.front.EvictIdle)
				in.runOnLoop(func() {}) // wait for the function that EvictIdle posts to the loop
			} else {
				in.front.EvictIdle()
				c.send("images", object, 5*time.Second, "")
				in.waitForPoller()
			}
			release()
			if a := c.readAnswer(); a.err != "" {
				t.Errorf("request that arrived before the eviction: answer %+v, want no error", a)
			}
		})
	}
}
