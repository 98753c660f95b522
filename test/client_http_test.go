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

// httpClient is a client of a gateway's signed front, whose tokens are good for so long.
func httpClient(t *testing.T, addr string, good time.Duration) (*lib.Client, *atomic.Int64) {
	t.Helper()
	issuer, err := signedurl.NewIssuer(signedKeys, "new")
	if err != nil {
		t.Fatal(err)
	}
	signed := &atomic.Int64{}
	c, err := lib.New(lib.Config{Gateways: []string{addr}, Classes: clientClasses, Transport: &lib.HTTP{
		Sign: func(_ context.Context, target string) (string, error) {
			signed.Add(1)
			uri, err := issuer.Sign(signedurl.Order{Target: target, Expiry: time.Now().Add(good)})
			return strings.TrimPrefix(uri, base), err
		}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, signed
}

// Over the signed front: parts, tags, keys, refusals with when to come back, and tokens that are no good.
func TestHTTPClientOnSignedFront(t *testing.T) {
	r, addr := signedRig(t, "")
	c, _ := httpClient(t, addr, time.Minute)
	ctx := context.Background()
	got, err := c.Do(ctx, lib.Request{Class: "images", Object: object, Part: 3, Group: 17})
	if err != nil || string(got.Body) != content(object, "3") || got.Tag != "tag-"+object || got.Tries != 1 {
		t.Fatalf("%d bytes, tag %q, %d tries, %v", len(got.Body), got.Tag, got.Tries, err)
	}
	r.setHandler(func(a *storeRequest) { a.Reply("KEEP", "why=warm,digest="+a.Fields["got"], "") })
	if got, err = c.Do(ctx, lib.Request{Class: "images", Object: object, Part: 3, Have: "tag-" + object}); err != nil || !got.Unchanged {
		t.Errorf("unchanged %v, %v", got.Unchanged, err)
	}
	r.setHandler(serveHit)
	if _, err = c.Do(ctx, lib.Request{Class: "orders", Object: object, Body: []byte("move")}); err != nil {
		t.Error(err)
	}
	turns := 0
	for _, a := range r.storeRequests(object) {
		if a.Fields["lane"] == "orders" {
			if turns++; a.Fields["dedupe"] == "" || a.Body != "move" {
				t.Errorf("the store saw %v %q", a.Fields, a.Body)
			}
		}
	}
	if turns != 1 {
		t.Errorf("%d turns were sent", turns)
	}
	for _, s := range r.stores {
		s.Close()
	}
	var refused *lib.RefusedError
	if _, err = c.Do(ctx, lib.Request{Class: "films", Object: object}); !errors.As(err, &refused) || refused.Later <= 0 || !errors.Is(err, lib.ErrRefused) {
		t.Errorf("refused: %v", err)
	}
	stale, _ := httpClient(t, addr, -time.Minute)
	if _, err = stale.Do(ctx, lib.Request{Class: "images", Object: object}); !errors.Is(err, lib.ErrToken) || !errors.Is(err, lib.ErrFailed) {
		t.Errorf("a token that ran out: %v", err)
	}
}

// An object is read over its parts, goes on after one that could not be had, and may be read again; each part has a token
// httpGet asks by an HTTP client. The body is the caller's to close.
func httpGet(t *testing.T, c *http.Client, url string) (*http.Response, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return c.Do(q)
}

// of its own, so that none runs out between two.
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
		t.Fatalf("%d bytes, %v", len(first), err)
	}
	broken.Store(false)
	var rest []byte
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // the gateway said when to come back
		more, err := io.ReadAll(o)
		rest = append(rest, more...)
		if err == nil {
			break
		}
	}
	if string(first)+string(rest) != want {
		t.Errorf("%d bytes of %d", len(first)+len(rest), len(want))
	}
	if at, err := o.Seek(10, io.SeekStart); at != 10 || err != nil {
		t.Errorf("%d, %v", at, err)
	}
	if b := make([]byte, 20); true {
		if _, err := io.ReadFull(o, b); err != nil || string(b) != want[10:30] {
			t.Errorf("%q, %v", b, err)
		}
	}
	if _, err := o.Seek(1<<40, io.SeekStart); err == nil {
		t.Error("a place that is not known")
	}
	if err := o.Close(); err != nil || signed.Load() < 4 {
		t.Errorf("%v, %d tokens", err, signed.Load())
	}
	if _, err := o.Read(make([]byte, 1)); err == nil {
		t.Error("a closed object is read")
	}
	hc := &http.Client{Transport: &lib.RoundTripper{Client: c}}
	resp, err := httpGet(t, hc, "http://any/images/"+object+"/3?shard=17")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	if b, _ := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(b) != content(object, "3") || resp.Header.Get("ETag") == "" {
		t.Errorf("%d, %d bytes", resp.StatusCode, len(b))
	}
	nowhere, err := httpGet(t, hc, "http://any/nowhere")
	if err == nil {
		_ = nowhere.Body.Close() // the test fails below
	}
	if !errors.Is(err, lib.ErrRequest) {
		t.Errorf("%v", err)
	}
}
