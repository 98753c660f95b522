package test

import (
	"testing"
	"time"
)

// orderKey is the idempotency key of the requests of these tests.
const orderKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

// Guards against failing what was never written to a store, when the time is up while the connection to it is being opened.
func TestUnwrittenRequestIsRefusedAtItsDeadline(t *testing.T) {
	for _, class := range []string{"orders", "trades"} {
		r := newRig(t)
		r.config["settings"] = settingsWithTrades()
		for _, store := range r.stores {
			store.Addr = newStalledStore(t).addr
		}
		r.start()
		c := r.client()
		c.send(class, object, 200*time.Millisecond, "move", "unique", orderKey) // less than connectTimeoutMs
		if a := c.readAnswer(); a.err != "Backoff" {
			t.Errorf("%s: answer %+v, want Backoff", class, a)
		}
	}
}
