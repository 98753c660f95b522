// Command simulator-adapter hosts directors and speaks the simulator's protocol (package simprotocol) on standard input and
// output. It ends with status 1 on a line that it cannot read.
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
			_, _ = fmt.Fprintf(notes, "adapter: passing over unknown event %q\n", name) // a note that is lost changes nothing
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

// batch handles one line of input and returns the reply.
func (h *host) batch(line []byte) ([]byte, error) {
	b, err := h.decoder.Decode(line)
	if err != nil {
		return nil, err
	}
	var reply simprotocol.Reply
	for _, item := range b.Items {
		if err := h.item(b, item, &reply); err != nil {
			delete(h.directors, item.Director)
			reply.AddFault(item.Director, err.Error())
		}
	}
	return reply.Line(), nil
}

// item handles one item of a batch. After an error its director is not used any more.
func (h *host) item(b simprotocol.Batch, item simprotocol.Item, reply *simprotocol.Reply) error {
	switch item.Kind {
	case simprotocol.ItemStop:
		delete(h.directors, item.Director)
	case simprotocol.ItemStart:
		d, err := routing.New(item.Settings, item.Seed)
		if err != nil {
			return err
		}
		h.directors[item.Director] = d
	case simprotocol.ItemEvent:
		if d := h.directors[item.Director]; d != nil { // else it was stopped, or never started
			return h.handle(d, b, item, reply)
		}
	}
	return nil
}

// handle gives one event to its director. A panic in its decisions comes back as an error.
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
