package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"larchusher/client"
	loadgen "larchusher/lab/load"
	"larchusher/lab/loopback"
)

// clientFlags are the flags that get and ping share.
type clientFlags struct {
	Gateway []string      `help:"Address of a gateway; several are chosen among." required:""`
	Class   string        `default:"images"`
	Limit   time.Duration `help:"Deadline of a part, over all tries." default:"2.5s"`
	Group   int           `help:"Group of the object, 0 to 255."`
}

// open returns a client of the gateways, which the caller closes. It knows the classes of the load generator's mix, and Class.
func (g *clientFlags) open() (*client.Client, error) {
	cfg := client.Config{Gateways: g.Gateway}
	known := false
	for _, c := range loadgen.DeploymentMix() {
		k := client.Class{Name: c.Name, Worth: c.Worth}
		if c.Keyed {
			k.Effect, k.Window = client.Keyed, 3*time.Second
		}
		known = known || c.Name == g.Class
		cfg.Classes = append(cfg.Classes, k)
	}
	if !known {
		cfg.Classes = append(cfg.Classes, client.Class{Name: g.Class})
	}
	return client.New(cfg)
}

// getCmd is the sub-command get: it reads an object through gateways.
type getCmd struct {
	clientFlags
	Object string `arg:"" help:"16 hex digits."`
	Parts  int    `help:"Read parts 0 to N-1." default:"1"`
}

// Run writes the parts of an object, in order, to standard output. It fails if a part cannot be read.
func (g *getCmd) Run() error {
	c, err := g.open()
	if err != nil {
		return err
	}
	defer loopback.Close(c)
	r, err := c.Open(context.Background(), client.Object{Class: g.Class, Object: g.Object, Group: g.Group, Parts: g.Parts, PartDeadline: g.Limit})
	if err != nil {
		return err
	}
	defer loopback.Close(r)
	_, err = io.Copy(os.Stdout, r)
	return err
}

// pingCmd is the sub-command ping: it requests the same part repeatedly.
type pingCmd struct {
	clientFlags
	Object string        `help:"What is asked for, 16 hex digits." default:"7f3a9c21e0b4d655"`
	Count  int           `default:"4"`
	Every  time.Duration `default:"1s"`
}

// Run requests part 0 of an object Count times and prints the outcome of each call. It fails if no call succeeds.
func (p *pingCmd) Run() error {
	c, err := p.open()
	if err != nil {
		return err
	}
	defer loopback.Close(c)
	failures := 0
	for n := range p.Count {
		if n > 0 {
			time.Sleep(p.Every)
		}
		ctx, cancel := context.WithTimeout(context.Background(), p.Limit)
		began := time.Now()
		r, err := c.Do(ctx, client.Request{Class: p.Class, Object: p.Object, Group: p.Group})
		cancel()
		took := time.Since(began).Round(10 * time.Microsecond)
		if err != nil {
			failures++
			fmt.Printf("%d: %v, after %v\n", n+1, err, took)
			continue
		}
		fmt.Printf("%d: served, %d bytes, %d tries, %v\n", n+1, len(r.Body), r.Tries, took)
	}
	if failures == p.Count {
		return errors.New("ping: no request was served")
	}
	return nil
}
