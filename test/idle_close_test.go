package test

import (
	"testing"
	"time"
)

// A connection was closed as idle, where its place was needed, over a request that had come and was not read yet, or was read and
// not handled. That request got no answer.
func TestIdleEvictionSparesArrivedRequests(t *testing.T) {
	for name, hold := range map[string]func(*inProcessGateway) (release func()){
		"in the kernel": (*inProcessGateway).blockPoller,
		"on its way to the loop": func(in *inProcessGateway) func() {
			return in.blockLoop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			in := newInProcessGateway(t, nil)
			in.rig.setHandler(serveHit)
			c := in.client()
			c.send("images", object, 5*time.Second, "")
			if a := c.readAnswer(); a.err != "" {
				t.Fatalf("%+v", a)
			}
			release := hold(in)
			defer release()
			if name == "in the kernel" {
				c.send("images", object, 5*time.Second, "")
				in.runOnLoop(in.front.EvictIdle)
				in.runOnLoop(func() {}) // EvictIdle posts
			} else {
				in.front.EvictIdle()
				c.send("images", object, 5*time.Second, "")
				in.waitForPoller()
			}
			release()
			if a := c.readAnswer(); a.err != "" {
				t.Errorf("%+v", a)
			}
		})
	}
}
