package resp

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchusher/gateway"
	"larchusher/membudget"
)

// checkArray checks the strings of one array. Without available memory, strings longer than maxUnreservedBytes must
// be nil.
func checkArray(t *rapid.T, args [][]byte, want []string, memoryAvailable bool) {
	for i, w := range want {
		switch {
		case !memoryAvailable && len(w) > maxUnreservedBytes:
			if args[i] != nil {
				t.Fatal("a long string was kept without memory for it")
			}
		case args[i] == nil || !bytes.Equal(args[i], []byte(w)):
			t.Fatalf("string %d is %.20q", i, args[i])
		}
	}
}

// The parser emits the same arrays however the stream is split. Strings for which there is no memory are nil, and
// nothing else is lost with them.
func TestParserDropsStringsWithoutMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want [][]string
		for range rapid.IntRange(1, 6).Draw(t, "arrays") {
			body := strings.Repeat("x", rapid.SampledFrom([]int{0, 1, maxUnreservedBytes, maxUnreservedBytes + 1, 50000}).Draw(t, "size"))
			args := []string{"id", "DONE", "why=warm", body}
			stream, want = appendCommand(stream, args...), append(want, args)
		}
		memoryAvailable := rapid.Bool().Draw(t, "room")
		p := parser{reserve: func([]byte, int) bool { return memoryAvailable }}
		n := 0
		for len(stream) > 0 {
			cut := rapid.IntRange(1, min(len(stream), 30000)).Draw(t, "cut")
			err := p.feed(stream[:cut], func(args [][]byte) error {
				checkArray(t, args, want[n], memoryAvailable)
				n++
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			stream = stream[cut:]
		}
		if n != len(want) || p.partial() {
			t.Fatalf("got %d of %d arrays, or the parser expects more input", n, len(want))
		}
	})
}

// Memory reserved for answers is released however they end: complete, skipped for lack of memory, or cut off.
func TestReservedMemoryIsReleased(t *testing.T) {
	p := &Pool{cfg: Config{Budget: membudget.New(400_000)}} // of which answers may take 100,000 bytes
	answer := appendCommand(nil, "id", "DONE", "-", strings.Repeat("x", 60_000))
	feed := func(c *conn, b []byte) (got [][]byte) {
		err := c.parser.feed(b, func(args [][]byte) error {
			c.reservedBytes.Add(-int64(len(args[3])))
			got = append(got, args[3])
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	a, b := &conn{pool: p}, &conn{pool: p}
	a.parser.reserve, b.parser.reserve = a.reserve, b.reserve
	feed(a, answer[:1000]) // the rest never arrives
	if got := feed(b, answer); len(got) != 1 || got[0] != nil {
		t.Error("an answer beyond the budget was kept")
	}
	a.releaseReserved()
	got := feed(b, answer)
	if len(got) != 1 || got[0] == nil || p.cfg.Budget.Used(membudget.EndpointAnswers) != 60_000 {
		t.Errorf("got %d answers with %d bytes reserved, want one answer with 60000", len(got), p.cfg.Budget.Used(membudget.EndpointAnswers))
	}
	p.releaseBody(got[0])
	b.releaseReserved()
	if n := p.cfg.Budget.Used(membudget.EndpointAnswers); n != 0 {
		t.Errorf("%d bytes are still reserved at the end, want 0", n)
	}
}

// Guards against dropping the answer to a client that does not cause the shortage, when answers for others take the memory.
func TestAnswerForLightClientIsKept(t *testing.T) {
	ended := &recordingGateway{}
	p := &Pool{cfg: Config{Budget: membudget.New(400_000)}, Gateway: ended, loop: gateway.NewLoop()} // of which answers may take 100,000 bytes
	if !p.cfg.Budget.Reserve(membudget.EndpointAnswers, 60_000, false) {
		t.Fatal("60,000 bytes were refused")
	}
	c := &conn{pool: p, inFlight: map[string]*gateway.Attempt{}, canceled: map[string]time.Time{}}
	c.parser.reserve = c.reserve
	c.favored.Add("light")
	receive := func(id string) (dropped bool) {
		t.Helper()
		c.inFlight[id] = &gateway.Attempt{Request: &gateway.Request{ID: id}}
		err := c.parser.feed(appendCommand(nil, id, "DONE", "-", strings.Repeat("x", 60_000)), func(args [][]byte) error {
			return c.handleAnswer(args, time.Time{})
		})
		if err != nil {
			t.Fatal(err)
		}
		res := ended.results[len(ended.results)-1]
		if res.ReleaseBody != nil {
			res.ReleaseBody()
		}
		return res.BodyDropped
	}
	if !receive("other") {
		t.Error("an answer for a client that is not light was kept beyond the memory for answers")
	}
	if receive("light") {
		t.Error("the answer for the light client was dropped")
	}
	if !receive("light") {
		t.Error("an answer was kept beyond the memory for answers for an ID whose request has ended")
	}
}
