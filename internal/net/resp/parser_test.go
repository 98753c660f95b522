package resp

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// checkArray checks the strings of one array; without room, long ones are nil.
func checkArray(t *rapid.T, args [][]byte, want []string, room bool) {
	for i, w := range want {
		switch {
		case !room && len(w) > maxUnreservedBytes:
			if args[i] != nil {
				t.Fatal("held without room")
			}
		case args[i] == nil || !bytes.Equal(args[i], []byte(w)):
			t.Fatalf("string %d: %.20q", i, args[i])
		}
	}
}

// However a stream is cut, the same arrays come out; strings that there is no room for come out as nil, and nothing
// else is lost with them.
func TestParserPassesOverWhatHasNoRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want [][]string
		for range rapid.IntRange(1, 6).Draw(t, "arrays") {
			body := strings.Repeat("x", rapid.SampledFrom([]int{0, 1, maxUnreservedBytes, maxUnreservedBytes + 1, 50000}).Draw(t, "size"))
			args := []string{"id", "DONE", "why=warm", body}
			stream, want = appendCommand(stream, args...), append(want, args)
		}
		room := rapid.Bool().Draw(t, "room")
		p := parser{reserve: func(int) bool { return room }}
		n := 0
		for len(stream) > 0 {
			cut := rapid.IntRange(1, min(len(stream), 30000)).Draw(t, "cut")
			err := p.feed(stream[:cut], func(args [][]byte) error {
				checkArray(t, args, want[n], room)
				n++
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			stream = stream[cut:]
		}
		if n != len(want) || p.partial() {
			t.Fatalf("%d of %d arrays", n, len(want))
		}
	})
}

// What is counted for answers comes back, however they end: whole, passed over, or cut off.
func TestHeldAnswersComeBack(t *testing.T) {
	p := &Pool{cfg: Config{MaxAnswerBytes: 100_000}}
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
	feed(a, answer[:1000]) // cut off there
	if got := feed(b, answer); len(got) != 1 || got[0] != nil {
		t.Error("an answer is held beyond the bound")
	}
	a.releaseReserved()
	got := feed(b, answer)
	if len(got) != 1 || got[0] == nil || p.answerBytes.Load() != 60_000 {
		t.Errorf("%d answers, %d bytes held", len(got), p.answerBytes.Load())
	}
	p.releaseBody(got[0])
	b.releaseReserved()
	if n := p.answerBytes.Load(); n != 0 {
		t.Errorf("%d bytes are held for nothing", n)
	}
}
