// Command simulator-adapter runs directors for the simulator, with which it exchanges JSON lines (package
// simprotocol) on standard input and output. It exits with status 1 on an input line that it cannot decode, and on an
// error of reading or writing.
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

// run answers each line of in with one line on out, until in ends. It writes warnings about unknown events to
// warnings, once per event name.
func run(in io.Reader, out, warnings io.Writer) error {
	h := host{directors: map[string]*routing.Director{}}
	reported := map[string]bool{}
	h.decoder.OnUnknown = func(name string) {
		if !reported[name] {
			reported[name] = true
			_, _ = fmt.Fprintf(warnings, "adapter: ignoring unknown event %q\n", name) // a lost warning has no consequences
		}
	}
	r := bufio.NewReaderSize(in, 1<<20)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("reading line %d: %w", n, err)
		}
		if len(bytes.TrimSpace(line)) > 0 {
			reply, batchErr := h.handleBatch(line)
			if batchErr != nil {
				return fmt.Errorf("line %d: %w", n, batchErr)
			}
			if _, writeErr := out.Write(reply); writeErr != nil {
				return fmt.Errorf("writing reply %d: %w", n, writeErr)
			}
		}
		if err != nil {
			return nil
		}
	}
}

// host holds the directors of this process, by the simulator's name for them. They share no state.
type host struct {
	decoder   simprotocol.Decoder
	directors map[string]*routing.Director
	actions   []routing.Action
}

// handleBatch handles one line of input and returns the reply. A director that fails is reported in the reply and
// dropped.
func (h *host) handleBatch(line []byte) ([]byte, error) {
	b, err := h.decoder.Decode(line)
	if err != nil {
		return nil, err
	}
	var reply simprotocol.Reply
	for _, item := range b.Items {
		if err := h.handleItem(b, item, &reply); err != nil {
			delete(h.directors, item.Director)
			reply.AddFault(item.Director, err.Error())
		}
	}
	return reply.Line(), nil
}

// handleItem handles one item of a batch. After an error the director must not be used any more.
func (h *host) handleItem(b simprotocol.Batch, item simprotocol.Item, reply *simprotocol.Reply) error {
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
		if d := h.directors[item.Director]; d != nil { // otherwise it was stopped, or never started
			return h.runDirector(d, b, item, reply)
		}
	}
	return nil
}

// runDirector passes one event to its director and encodes the actions. A panic of the director is returned as an
// error.
func (h *host) runDirector(d *routing.Director, b simprotocol.Batch, it simprotocol.Item, reply *simprotocol.Reply) (err error) {
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
