package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	lib "larchusher/client"
	"larchusher/lab/loopback"
	"larchusher/lab/testbed"
	"larchusher/signedurl"
)

// shortWindow is how long the stores of these tests drop a repeat of a key: less than the deadline of the class, 3 s.
const shortWindow = time.Second

// orderKey is the idempotency key of the requests of these tests.
const orderKey = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"

// useShortWindow sets the window of class orders to shortWindow.
func useShortWindow(r *rig) {
	r.config["settings"] = json.RawMessage(strings.Replace(testbed.Settings, `"repeatWindowMs":3000`, `"repeatWindowMs":1000`, 1))
}

// keyedClasses are the classes of useShortWindow as the client library's settings have them.
var keyedClasses = []lib.Class{{Name: "films", Worth: 2}, {Name: "images", Worth: 1},
	{Name: "orders", Effect: lib.Keyed, Window: shortWindow, Worth: 3, Deadline: 3 * time.Second}}

// keyedStore runs each key that it receives, unless it has run the key within shortWindow.
type keyedStore struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

// receive runs a request, or drops it as a repeat.
func (k *keyedStore) receive(a *storeRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs == nil {
		k.runs = map[string][]time.Time{}
	}
	key := a.Fields["dedupe"]
	if n := len(k.runs[key]); n == 0 || a.At.Sub(k.runs[key][n-1]) >= shortWindow {
		k.runs[key] = append(k.runs[key], a.At)
	}
}

// checkRunOnce fails the test unless the key ran exactly once.
func (k *keyedStore) checkRunOnce(t *testing.T, key string) {
	t.Helper()
	k.mu.Lock()
	defer k.mu.Unlock()
	if runs := k.runs[key]; len(runs) != 1 {
		t.Errorf("key %s ran %d times, at %v; want once", key, len(runs), runs)
	}
}

// resetAt closes the connection of a request with a reset, a time after the request came.
func resetAt(a *storeRequest, after time.Duration) {
	time.AfterFunc(time.Until(a.At.Add(after)), func() { resetConn(a) })
}

// resetConn closes the connection of a request with a reset.
func resetConn(a *storeRequest) {
	if conn, ok := a.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = conn.SetLinger(0)
	}
	loopback.Close(a.Conn)
}

// keyedAnswer is how a front answered a keyed request.
type keyedAnswer struct {
	refused bool // the client is told that trying again is harmless
	text    string
}

// submitOrder sends a keyed request to the platform's front and returns the answer.
func submitOrder(r *rig, limit time.Duration) keyedAnswer {
	c := r.client()
	c.send("orders", object, limit, "move", "unique", orderKey)
	a := c.readAnswer()
	return keyedAnswer{refused: a.err == "Backoff", text: fmt.Sprintf("%+v", a)}
}

// postOrder sends a keyed request to the signed front and returns the answer.
func postOrder(t *testing.T, addr string) keyedAnswer {
	c := newHTTPConn(t, addr)
	target := strings.TrimPrefix(signer(t, signedKeys, "new")(signedurl.Order{Target: "/orders/" + object + "/3?shard=17",
		Expiry: time.Now().Add(time.Hour)}), base)
	status, body, header := c.get("POST", target, "Idempotency-Key: "+orderKey, "Content-Length: 0")
	return keyedAnswer{refused: status == http.StatusServiceUnavailable, text: fmt.Sprint(status, " ", body, " ", header)}
}

// Guards against status 504, after which a POST may have run, for one that was never written to a store: it must be refused.
func TestUnwrittenPostIsRefusedAtItsDeadline(t *testing.T) {
	_, addr := signedRig(t, "", func(r *rig) {
		deadlines := strings.NewReplacer(`"aimMs":600,"hardLimitMs":3000,"effect":"by_key"`, `"aimMs":100,"hardLimitMs":200,"effect":"by_key"`)
		r.config["settings"] = json.RawMessage(deadlines.Replace(testbed.Settings)) // less than connectTimeoutMs
		for _, store := range r.stores {
			store.Addr = newStalledStore(t).addr
		}
	})
	if a := postOrder(t, addr); !a.refused {
		t.Errorf("answer %s, want it refused", a.text)
	}
}

// Guards against a keyed request that runs twice because the gateway refuses it ("trying again is harmless") although an attempt
// of it may have run: behind its window, or within it with a Retry-After that ends behind it. What has not run must still be refused.
func TestKeyedRequestIsRefusedOnlyIfItHasNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		handle  func(*storeRequest)
		limit   time.Duration
		refused bool
	}{
		{"reset behind the window", func(a *storeRequest) { resetAt(a, shortWindow+100*time.Millisecond) }, 3 * time.Second, false},
		{"reset before the end of the window", func(a *storeRequest) { resetAt(a, shortWindow-100*time.Millisecond) }, 3 * time.Second, false},
		{"errors within the window", func(a *storeRequest) { a.Reply("BROKE", "-", "") }, 3 * time.Second, false},
		{"no answer by the deadline, within the window", func(*storeRequest) {}, 500 * time.Millisecond, false},
		{"no answer by the deadline, behind the window", func(*storeRequest) {}, 1500 * time.Millisecond, false},
		{"full", func(a *storeRequest) { a.Reply("WAIT", "-", "") }, 3 * time.Second, true},
		{"over already", func(a *storeRequest) { a.Reply("PAST", "-", "") }, 3 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, addr := signedRig(t, "", useShortWindow)
			r.setHandler(c.handle)
			if a := submitOrder(r, c.limit); a.refused != c.refused {
				t.Errorf("platform's front: answer %s, want refused %v", a.text, c.refused)
			}
			if a := postOrder(t, addr); a.refused != c.refused {
				t.Errorf("signed front: answer %s, want refused %v", a.text, c.refused)
			}
		})
	}
}

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

// Guards against refusing a keyed request that a store has, while the gateway that sent it there ends, with a successor or without:
// at the request's deadline, behind its window, and where the store resets its connection.
func TestKeyedRequestOpenAtShutdownIsNotRefused(t *testing.T) {
	for _, upgrade := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("upgrade %v, reset %v", upgrade, reset), func(t *testing.T) {
				r := newRig(t).withSharedTempDir()
				useShortWindow(r)
				r.start()
				pending := make(chan *storeRequest, 10)
				r.setHandler(func(a *storeRequest) { pending <- a })
				c := r.client()
				c.send("orders", object, 2*time.Second, "move", "unique", orderKey)
				a := receive(t, pending)
				if upgrade {
					r.startSuccessor()
				}
				r.signal(syscall.SIGTERM)
				if reset {
					resetAt(a, shortWindow+100*time.Millisecond)
				}
				if got := c.readAnswer(); got.err == "" || got.err == "Backoff" {
					t.Errorf("answer %+v, want a failure", got)
				}
				if n := len(r.storeRequests(object)); n != 1 {
					t.Errorf("the stores received %d attempts, want 1", n)
				}
			})
		}
	}
}

// libraryTransports are the transports of the client library with the addresses of the gateways that they use.
func libraryTransports(t *testing.T, rpcAddrs, httpAddrs []string) map[string]lib.Config {
	issuer, err := signedurl.NewIssuer(signedKeys, "new")
	if err != nil {
		t.Fatal(err)
	}
	sign := func(_ context.Context, target string) (string, error) {
		uri, err := issuer.Sign(signedurl.Order{Target: target, Expiry: time.Now().Add(time.Hour)})
		return strings.TrimPrefix(uri, base), err
	}
	return map[string]lib.Config{
		"RPC":  {Gateways: rpcAddrs, Classes: keyedClasses},
		"HTTP": {Gateways: httpAddrs, Classes: keyedClasses, Transport: &lib.HTTP{Sign: sign}},
	}
}

// newLibraryClient returns a client that is closed at the end of the test.
func newLibraryClient(t *testing.T, cfg lib.Config) *lib.Client {
	c, err := lib.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a second run by the client library, on both transports, and by its http.RoundTripper, after the connection to the
// store was reset behind the window.
func TestLibraryRunsKeyedRequestOnceAfterReset(t *testing.T) {
	r, addr := signedRig(t, "", useShortWindow)
	k := &keyedStore{}
	r.setHandler(func(a *storeRequest) {
		k.receive(a)
		resetAt(a, shortWindow+100*time.Millisecond)
	})
	for name, cfg := range libraryTransports(t, []string{r.addr}, []string{addr}) {
		t.Run(name, func(t *testing.T) {
			c := newLibraryClient(t, cfg)
			_, err := c.Do(t.Context(), lib.Request{Class: "orders", Object: object, Key: "do-" + name})
			if !errors.Is(err, lib.ErrFailed) && !errors.Is(err, lib.ErrUnknown) {
				t.Errorf("error %v, want one that says that the request may have run", err)
			}
			k.checkRunOnce(t, "do-"+name)
			if status := postThroughRoundTripper(t, c, "trip-"+name); status == http.StatusServiceUnavailable {
				t.Errorf("RoundTripper: status %d for a request that has run", status)
			}
			k.checkRunOnce(t, "trip-"+name)
		})
	}
}

// Guards against failing a keyed call that has not run: the library must report a refusal, on both transports, and its
// http.RoundTripper status 503.
func TestLibraryReportsRefusalOfKeyedRequest(t *testing.T) {
	r, addr := signedRig(t, "", useShortWindow)
	r.setHandler(func(a *storeRequest) { a.Reply("WAIT", "-", "") })
	for name, cfg := range libraryTransports(t, []string{r.addr}, []string{addr}) {
		c := newLibraryClient(t, cfg)
		if _, err := c.Do(t.Context(), lib.Request{Class: "orders", Object: object}); !errors.Is(err, lib.ErrRefused) {
			t.Errorf("%s: error %v, want ErrRefused", name, err)
		}
		if status := postThroughRoundTripper(t, c, orderKey); status != http.StatusServiceUnavailable {
			t.Errorf("%s: RoundTripper: status %d, want 503", name, status)
		}
	}
}

// postThroughRoundTripper sends a keyed request through an http.Client that uses a client of the library, and returns the status of
// the response; 0: an error.
func postThroughRoundTripper(t *testing.T, c *lib.Client, key string) int {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://any/orders/"+object+"/3", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Idempotency-Key", key)
	resp, err := (&http.Client{Transport: &lib.RoundTripper{Client: c}}).Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// fullUntilWindowEnds returns a handler of a store that runs the first request without an answer, is full while the window of that
// lasts, which takes it a while to say, and serves what comes later. The first request is sent to the channel.
func (k *keyedStore) fullUntilWindowEnds(first chan<- *storeRequest) func(*storeRequest) {
	var once sync.Once
	var ranAt time.Time
	return func(a *storeRequest) {
		isFirst := false
		once.Do(func() { isFirst, ranAt = true, a.At })
		switch {
		case isFirst:
			k.receive(a)
			first <- a
		case time.Since(ranAt) < shortWindow:
			time.AfterFunc(300*time.Millisecond, func() { a.Reply("WAIT", "-", "") })
		default:
			k.receive(a)
			a.Reply("DONE", "-", "")
		}
	}
}

// Guards against a second run behind the window by another gateway: the first one dies with the request, the client sends it to the
// second one within the window, and the store takes it there only behind it.
func TestKeyedRepeatAtAnotherGatewayStaysWithinWindow(t *testing.T) {
	for _, transport := range []string{"RPC", "HTTP"} {
		t.Run(transport, func(t *testing.T) {
			rigs, addrs := [2]*rig{}, [2]string{}
			stores := newStores(t)
			for i := range rigs {
				rigs[i], addrs[i] = signedRig(t, "", func(r *rig) { r.stores = stores }, useShortWindow)
			}
			k, first := &keyedStore{}, make(chan *storeRequest, 1)
			rigs[0].setHandler(k.fullUntilWindowEnds(first))
			cfg := libraryTransports(t, []string{rigs[0].addr, rigs[1].addr}, addrs[:])[transport]
			cfg.Plan.Spread, cfg.Plan.Retries = time.Millisecond, 9
			c := newLibraryClient(t, cfg)
			ended := make(chan error, 1)
			go func() {
				_, err := c.Do(t.Context(), lib.Request{Class: "orders", Object: object, Key: orderKey})
				ended <- err
			}()
			receive(t, first)
			time.Sleep(shortWindow / 2)
			killGatewaysWithAttempts(rigs[:])
			if err := receive(t, ended); !errors.Is(err, lib.ErrUnknown) && !errors.Is(err, lib.ErrFailed) {
				t.Errorf("error %v, want one that says that the request may have run", err)
			}
			if n := len(rigs[0].storeRequests(object)); n < 2 {
				t.Errorf("the stores received %d attempts, want some of the second gateway", n)
			}
			k.checkRunOnce(t, orderKey)
		})
	}
}

// killGatewaysWithAttempts kills the gateways that have sent attempts.
func killGatewaysWithAttempts(rigs []*rig) {
	for _, r := range rigs {
		if r.counter("attempts") > 0 {
			r.signal(syscall.SIGKILL)
		}
	}
}
