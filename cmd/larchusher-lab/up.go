package main

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"larchusher/lab/fakeserver"
	loadgen "larchusher/lab/load"
	"larchusher/lab/testbed"
	"larchusher/signedurl"
)

// upCmd is the sub-command up: it starts a gateway with fake servers and requests some objects.
type upCmd struct {
	Program string `help:"The gateway's program." placeholder:"PATH"`
	Caches  int    `help:"Fake caches." default:"2"`
	Stay    bool   `help:"Go on until SIGINT, so that you can ask yourself."`
}

// signedBaseURL is the base of the URLs that the signed front accepts; requests go to its loopback address instead.
const signedBaseURL = "https://assets.ridge.example"

// Run starts a gateway with fake servers, requests some objects through both fronts, and prints which server answered each. With
// --stay it then waits for a signal.
func (u *upCmd) Run() error {
	program, err := programPath(u.Program)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	front, err := testbed.FreeAddr()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "larchusher-up")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // an error leaves files in the temporary folder, which the system cleans up
	d := &demo{frontAddr: front, secret: []byte("a secret of the lab, not of anyone else")}
	if err := d.start(ctx, program, dir, u.Caches); err != nil {
		return err
	}
	defer d.bed.Stop()
	if err := d.requestAll(ctx); err != nil {
		return err
	}
	if u.Stay {
		return d.waitForSignal()
	}
	return nil
}

// demo is a running gateway with fake servers, and the issuer of its signed URLs.
type demo struct {
	frontAddr string // address of the signed front
	secret    []byte // of the key for signed URLs
	bed       *testbed.Gateway
	issuer    *signedurl.Issuer
}

// start writes an operator's file to dir, starts the gateway with it, and prints the addresses of all parts.
func (d *demo) start(ctx context.Context, program, dir string, caches int) (err error) {
	d.issuer, err = signedurl.NewIssuer(signedurl.Config{Base: signedBaseURL, Keys: []signedurl.Key{{ID: "lab",
		Form: signedurl.URISigning, Algorithm: "HS256", Secret: d.secret}}}, "lab")
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "operator.textproto")
	text := fmt.Sprintf("signed_front {\n  listen: %q\n  base: %q\n  key { id: \"lab\" form: \"uri-signing\" algorithm: \"HS256\" secret_env: \"LAB_KEY\" }\n}\n",
		d.frontAddr, signedBaseURL)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	bed, err := testbed.Start(ctx, testbed.Config{Program: program, Args: []string{"serve", "--operator", file},
		Env: []string{"LAB_KEY=" + hex.EncodeToString(d.secret)}, Caches: caches, Pin: -1})
	if err != nil {
		return err
	}
	d.bed = bed
	for _, s := range bed.Stores {
		s.Lock()
		s.CountOnly = false
		s.Unlock()
		s.ActAsCache(bed.Stores, func(string) int { return 5000 })
	}
	fmt.Printf("platform's front at %s, signed front at http://%s, journal at %s\n", bed.Addr, d.frontAddr, bed.Journal.Addr)
	for name, s := range bed.Stores {
		fmt.Printf("  %s (%s) at %s\n", name, s.Kind, s.Addr)
	}
	return nil
}

// requestAll requests some objects through both fronts, and prints a row for each answer.
func (d *demo) requestAll(ctx context.Context) error {
	t := newTextTable()
	t.header("front\tasked\tanswer\tserved by\tfilled from\ttook")
	for _, object := range []string{"7f3a9c21e0b4d655", "00000000000000aa", "7f3a9c21e0b4d655"} {
		if err := d.requestPlatform(t, "images "+object+"/3", "images", object, 3); err != nil {
			return err
		}
		if err := d.requestSigned(ctx, t, object); err != nil {
			return err
		}
	}
	if err := d.requestPlatform(t, "orders", "orders", "7f3a9c21e0b4d655", 0); err != nil {
		return err
	}
	return t.flush()
}

// requestPlatform requests a part through the platform front, and adds a row to the table.
func (d *demo) requestPlatform(t *table, asked, class, object string, part int) error {
	began := time.Now()
	answer, err := loadgen.RequestPart(d.bed.Addr, class, object, part)
	if err != nil {
		return err
	}
	d.addRow(t, "platform", asked, answer, time.Since(began))
	return nil
}

// requestSigned requests part 1 of an object through the signed front, and adds a row to the table.
func (d *demo) requestSigned(ctx context.Context, t *table, object string) error {
	uri, err := d.issuer.Sign(signedurl.Order{Target: "/films/" + object + "/1?shard=17", Expiry: time.Now().Add(time.Hour)})
	if err != nil {
		return err
	}
	began := time.Now()
	answer, err := get(ctx, "http://"+d.frontAddr+strings.TrimPrefix(uri, signedBaseURL))
	if err != nil {
		return err
	}
	d.addRow(t, "signed", "films "+object+"/1", answer, time.Since(began))
	return nil
}

// addRow adds a row: what was requested, the answer, which fake server sent it, and from where that had filled.
func (d *demo) addRow(t *table, front, asked, answer string, took time.Duration) {
	server, fillSource := "-", "-"
	if request := takeLatest(d.bed.Stores); request != nil {
		server = request.Store.Name
		if fillSource = "its own copy"; request.Note != "warm" {
			fillSource = request.Fields["parent"]
		} else if request.Store.Kind == "origin" || request.Fields["parent"] == request.Store.Name {
			fillSource = "itself"
		}
	}
	t.row("%s\t%s\t%s\t%s\t%s\t%v", front, asked, answer, server, fillSource, took.Round(10*time.Microsecond))
}

// waitForSignal prints a command for a request, and returns at SIGINT or SIGTERM.
func (d *demo) waitForSignal() error {
	uri, err := d.issuer.Sign(signedurl.Order{Target: "/films/7f3a9c21e0b4d655/1?shard=17", Expiry: time.Now().Add(time.Hour)})
	if err != nil {
		return err
	}
	fmt.Printf("\nit goes on until SIGINT; try: curl -i 'http://%s%s'\n", d.frontAddr, strings.TrimPrefix(uri, signedBaseURL))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}

// takeLatest returns the latest request that any fake server received, or nil, and clears the records of all.
func takeLatest(stores map[string]*fakeserver.Store) (last *fakeserver.Request) {
	for _, s := range stores {
		s.Lock()
		for _, a := range s.Requests {
			if last == nil || a.At.After(last.At) {
				last = a
			}
		}
		s.Requests = nil
		s.Unlock()
	}
	return last
}

// get requests a URL and returns the status and the length of the body as text.
func get(ctx context.Context, url string) (string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read to its end: an error on closing changes nothing
	b, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("%s, %d bytes", resp.Status, len(b)), err
}

// programPath returns the path of the gateway's program: the named one, or else the one in this program's folder. It fails if
// that does not exist.
func programPath(named string) (string, error) {
	if named != "" {
		return named, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "larchusher")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("gateway's program not found; build it by CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...: %w", err)
	}
	return path, nil
}
