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

// up is the sub-command of that name.
type up struct {
	Program string `help:"The gateway's program." placeholder:"PATH"`
	Caches  int    `help:"Fake caches." default:"2"`
	Stay    bool   `help:"Go on until SIGINT, so that you can ask yourself."`
}

const upBase = "https://assets.ridge.example"

// Run starts a gateway with fake servers, asks for some objects by both fronts, and shows what came from where.
func (u *up) Run() error {
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
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder, which the system clears otherwise
	d := &demo{front: front, secret: []byte("a secret of the lab, not of anyone else")}
	if err := d.start(ctx, program, dir, u.Caches); err != nil {
		return err
	}
	defer d.world.Stop()
	if err := d.askAll(ctx); err != nil {
		return err
	}
	if u.Stay {
		return d.stay()
	}
	return nil
}

// demo is a gateway with fake servers, and what signs for its signed front.
type demo struct {
	front  string // the signed front's address
	secret []byte // of its key
	world  *testbed.Gateway
	issuer *signedurl.Issuer
}

// start starts the gateway with an operator's file in a folder, and tells where everything is.
func (d *demo) start(ctx context.Context, program, dir string, caches int) (err error) {
	d.issuer, err = signedurl.NewIssuer(signedurl.Config{Base: upBase, Keys: []signedurl.Key{{ID: "lab",
		Form: signedurl.URISigning, Algorithm: "HS256", Secret: d.secret}}}, "lab")
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "operator.textproto")
	text := fmt.Sprintf("signed_front {\n  listen: %q\n  base: %q\n  key { id: \"lab\" form: \"uri-signing\" algorithm: \"HS256\" secret_env: \"LAB_KEY\" }\n}\n",
		d.front, upBase)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	w, err := testbed.Start(ctx, testbed.Config{Program: program, Args: []string{"serve", "--operator", file},
		Env: []string{"LAB_KEY=" + hex.EncodeToString(d.secret)}, Caches: caches, Pin: -1})
	if err != nil {
		return err
	}
	d.world = w
	for _, s := range w.Stores {
		s.Lock()
		s.CountOnly = false
		s.Unlock()
		s.ActAsCache(w.Stores, func(string) int { return 5000 })
	}
	fmt.Printf("platform's front at %s, signed front at http://%s, journal at %s\n", w.Addr, d.front, w.Journal.Addr)
	for name, s := range w.Stores {
		fmt.Printf("  %s (%s) at %s\n", name, s.Kind, s.Addr)
	}
	return nil
}

// askAll asks for some objects by both fronts, and prints a row for each answer.
func (d *demo) askAll(ctx context.Context) error {
	t := newTextTable()
	t.head("front\tasked\tanswer\tserved by\tfilled from\ttook")
	for _, object := range []string{"7f3a9c21e0b4d655", "00000000000000aa", "7f3a9c21e0b4d655"} {
		if err := d.askPlatform(t, "images "+object+"/3", "images", object, 3); err != nil {
			return err
		}
		if err := d.askSigned(ctx, t, object); err != nil {
			return err
		}
	}
	if err := d.askPlatform(t, "orders", "orders", "7f3a9c21e0b4d655", 0); err != nil {
		return err
	}
	return t.flush()
}

func (d *demo) askPlatform(t *table, asked, class, object string, part int) error {
	began := time.Now()
	answer, err := loadgen.One(d.world.Addr, class, object, part)
	if err != nil {
		return err
	}
	d.show(t, "platform", asked, answer, time.Since(began))
	return nil
}

func (d *demo) askSigned(ctx context.Context, t *table, object string) error {
	uri, err := d.issuer.Sign(signedurl.Order{Target: "/films/" + object + "/1?shard=17", Expiry: time.Now().Add(time.Hour)})
	if err != nil {
		return err
	}
	began := time.Now()
	answer, err := get(ctx, "http://"+d.front+strings.TrimPrefix(uri, upBase))
	if err != nil {
		return err
	}
	d.show(t, "signed", "films "+object+"/1", answer, time.Since(began))
	return nil
}

// show adds a row: what was asked, and which store served it from where.
func (d *demo) show(t *table, front, asked, answer string, took time.Duration) {
	by, from := "-", "-"
	if a := latest(d.world.Stores); a != nil {
		by = a.Store.Name
		if from = "its own copy"; a.Note != "warm" {
			from = a.Fields["parent"]
		} else if a.Store.Kind == "origin" || a.Fields["parent"] == a.Store.Name {
			from = "itself"
		}
	}
	t.row("%s\t%s\t%s\t%s\t%s\t%v", front, asked, answer, by, from, took.Round(10*time.Microsecond))
}

// stay goes on until SIGINT or SIGTERM.
func (d *demo) stay() error {
	uri, err := d.issuer.Sign(signedurl.Order{Target: "/films/7f3a9c21e0b4d655/1?shard=17", Expiry: time.Now().Add(time.Hour)})
	if err != nil {
		return err
	}
	fmt.Printf("\nit goes on until SIGINT; try: curl -i 'http://%s%s'\n", d.front, strings.TrimPrefix(uri, upBase))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}

// latest is what a store was asked last, and forgets it.
func latest(stores map[string]*fakeserver.Store) (last *fakeserver.Request) {
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

func get(ctx context.Context, url string) (string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	b, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("%s, %d bytes", resp.Status, len(b)), err
}

// programPath finds the gateway's program, beside this one unless it is named.
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
		return "", fmt.Errorf("build it first, by CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...: %w", err)
	}
	return path, nil
}
