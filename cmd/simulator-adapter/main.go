// Command adapter hosts directors and speaks the wire of package simprotocol on standard input and output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"larchusher/internal/simprotocol"
	"larchusher/routing"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run answers each line of in with one line on out, until in ends.
func run(in io.Reader, out, notes io.Writer) error {
	h := host{directors: map[string]*routing.Director{}}
	noted := map[string]bool{}
	h.decoder.Unknown = func(name string) {
		if !noted[name] {
			noted[name] = true
			fmt.Fprintf(notes, "adapter: passing over unknown event %q\n", name)
		}
	}
	r := bufio.NewReaderSize(in, 1<<20)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", n, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, bad := h.batch(line)
			if bad != nil {
				return fmt.Errorf("line %d: %w", n, bad)
			}
			if _, bad := out.Write(reply); bad != nil {
				return fmt.Errorf("writing reply %d: %w", n, bad)
			}
		}
		if err != nil {
			return nil
		}
	}
}

// host holds the directors of this process. They share nothing.
type host struct {
	decoder   simprotocol.Decoder
	directors map[string]*routing.Director
	actions   []routing.Action
}

// batch carries out one line of input and returns the reply.
func (h *host) batch(line []byte) ([]byte, error) {
	b, err := h.decoder.Decode(line)
	if err != nil {
		return nil, err
	}
	var reply simprotocol.Reply
	for _, it := range b.Items {
		switch it.Kind {
		case simprotocol.ItemStop:
			delete(h.directors, it.Director)
		case simprotocol.ItemStart:
			d, err := routing.New(it.Settings, it.Seed)
			if err != nil {
				delete(h.directors, it.Director)
				reply.AddFault(it.Director, err.Error())
				continue
			}
			h.directors[it.Director] = d
		case simprotocol.ItemEvent:
			d := h.directors[it.Director]
			if d == nil {
				continue // it was killed, or never started
			}
			if err := h.handle(d, b, it, &reply); err != nil {
				delete(h.directors, it.Director)
				reply.AddFault(it.Director, err.Error())
			}
		}
	}
	return reply.Line(), nil
}

// handle gives one event to its director. A panic in the module comes back as an error.
func (h *host) handle(d *routing.Director, b simprotocol.Batch, it simprotocol.Item, reply *simprotocol.Reply) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic in the decision module: %v", p)
		}
	}()
	h.actions = d.Handle(b.Now, it.Event, h.actions[:0])
	for _, a := range h.actions {
		if err := reply.AddAction(it.Director, a); err != nil {
			return err
		}
	}
	return nil
}
