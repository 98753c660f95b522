package test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	lib "larchusher/client"
	"larchusher/signedurl"
)

// httpClient returns a client of a gateway's signed front whose tokens are valid for the given duration, and the number of
// tokens signed so far.
func httpClient(t *testing.T, addr string, validity time.Duration) (*lib.Client, *atomic.Int64) {
	t.Helper()
	issuer, err := signedurl.NewIssuer(signedKeys, "new")
	if err != nil {
		t.Fatal(err)
	}
	signed := &atomic.Int64{}
	c, err := lib.New(lib.Config{Gateways: []string{addr}, Classes: clientClasses, Transport: &lib.HTTP{
		Sign: func(_ context.Context, target string) (string, error) {
			signed.Add(1)
			uri, err := issuer.Sign(signedurl.Order{Target: target, Expiry: time.Now().Add(validity)})
			return strings.TrimPrefix(uri, base), err
		}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, signed
}

// The client library must report every kind of result of the signed front: a served part with its tag, an unchanged part,
// a request with an idempotency key, a rejection with Retry-After, and an expired token.
func TestHTTPClientOnSignedFront(t *testing.T) {
	r, addr := signedRig(t, "")
	c, _ := httpClient(t, addr, time.Minute)
	ctx := context.Background()
	got, err := c.Do(ctx, lib.Request{Class: "images", Object: object, Part: 3, Group: 17})
	if err != nil || string(got.Body) != content(object, "3") || got.Tag != "tag-"+object || got.Tries != 1 {
		t.Fatalf("GET of a part: %d bytes, tag %q, %d tries, error %v; want the content and tag of the part in 1 try", len(got.Body), got.Tag, got.Tries, err)
	}
	r.setHandler(func(a *storeRequest) { a.Reply("KEEP", "why=warm,digest="+a.Fields["got"], "") })
	if got, err = c.Do(ctx, lib.Request{Class: "images", Object: object, Part: 3, Have: "tag-" + object}); err != nil || !got.Unchanged {
		t.Errorf("request with a current tag: unchanged %v, error %v; want true and no error", got.Unchanged, err)
	}
	r.setHandler(serveHit)
	if _, err = c.Do(ctx, lib.Request{Class: "orders", Object: object, Body: []byte("move")}); err != nil {
		t.Error(err)
	}
	orders := 0
	for _, a := range r.storeRequests(object) {
		if a.Fields["lane"] == "orders" {
			if orders++; a.Fields["dedupe"] == "" || a.Body != "move" {
				t.Errorf("the store received fields %v and body %q, want an idempotency key and the body \"move\"", a.Fields, a.Body)
			}
		}
	}
	if orders != 1 {
		t.Errorf("the stores received %d requests of class orders, want 1", orders)
	}
	for _, s := range r.stores {
		s.Close()
	}
	var refused *lib.RefusedError
	if _, err = c.Do(ctx, lib.Request{Class: "films", Object: object}); !errors.As(err, &refused) || refused.Later <= 0 || !errors.Is(err, lib.ErrRefused) {
		t.Errorf("with all stores down: error %v, want ErrRefused with a Retry-After above 0", err)
	}
	stale, _ := httpClient(t, addr, -time.Minute)
	if _, err = stale.Do(ctx, lib.Request{Class: "images", Object: object}); !errors.Is(err, lib.ErrToken) || !errors.Is(err, lib.ErrFailed) {
		t.Errorf("with an expired token: error %v, want ErrToken and ErrFailed", err)
	}
}

// httpGet sends a GET request with an HTTP client. The caller closes the body.
func httpGet(t *testing.T, c *http.Client, url string) (*http.Response, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Do(q)
}

// A reader of an object must return its parts in order, continue after a part that could not be fetched, and allow seeks.
// Each part is requested with a token of its own, so that none expires between parts. The same client must work as an
// http.RoundTripper.
func TestObjectReaderResumesAfterFailedPart(t *testing.T) {
	r, addr := signedRig(t, "")
	c, signed := httpClient(t, addr, time.Minute)
	var broken atomic.Bool
	broken.Store(true)
	r.setHandler(func(a *storeRequest) {
		if a.Fields["piece"] == "2" && broken.Load() {
			a.Reply("BROKE", "-", "")
			return
		}
		serveHit(a)
	})
	o, err := c.Open(context.Background(), lib.Object{Class: "films", Object: object, Parts: 4, Ahead: 1, PartDeadline: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	want := content(object, "0") + content(object, "1") + content(object, "2") + content(object, "3")
	first, err := io.ReadAll(o)
	if err == nil || string(first) != want[:len(first)] || len(first) != len(content(object, "0"))*2 || !strings.Contains(err.Error(), "part 2") {
		t.Fatalf("read with part 2 failing: %d bytes, error %v; want parts 0 and 1 and an error that names part 2", len(first), err)
	}
	broken.Store(false)
	var rest []byte
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // the gateway rejects part 2 until its Retry-After has passed
		more, err := io.ReadAll(o)
		rest = append(rest, more...)
		if err == nil {
			break
		}
	}
	if string(first)+string(rest) != want {
		t.Errorf("read %d bytes in all, want the %d bytes of the object", len(first)+len(rest), len(want))
	}
	if at, err := o.Seek(10, io.SeekStart); at != 10 || err != nil {
		t.Errorf("Seek(10): position %d, error %v; want 10 and no error", at, err)
	}
	if b := make([]byte, 20); true {
		if _, err := io.ReadFull(o, b); err != nil || string(b) != want[10:30] {
			t.Errorf("read after the seek: %q, error %v; want bytes 10 to 30 of the object", b, err)
		}
	}
	if _, err := o.Seek(1<<40, io.SeekStart); err == nil {
		t.Error("Seek to 1<<40, beyond the object, returned no error, want one")
	}
	if err := o.Close(); err != nil || signed.Load() < 4 {
		t.Errorf("Close: error %v after %d signed tokens; want no error and at least 4 tokens", err, signed.Load())
	}
	if _, err := o.Read(make([]byte, 1)); err == nil {
		t.Error("Read after Close returned no error, want one")
	}
	hc := &http.Client{Transport: &lib.RoundTripper{Client: c}}
	resp, err := httpGet(t, hc, "http://any/images/"+object+"/3?shard=17")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	if b, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(b) != content(object, "3") || resp.Header.Get("ETag") == "" {
		t.Errorf("GET through http.Client: status %d, %d bytes; want 200, the part and an ETag", resp.StatusCode, len(b))
	}
	nowhere, err := httpGet(t, hc, "http://any/nowhere")
	if err == nil {
		_ = nowhere.Body.Close() // an answer fails the check below
	}
	if !errors.Is(err, lib.ErrRequest) {
		t.Errorf("GET of an invalid path: error %v, want ErrRequest", err)
	}
}
