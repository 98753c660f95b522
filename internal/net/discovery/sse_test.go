package discovery

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// A response yields the same events however it is split, chunked or not.
func TestParseResponse(t *testing.T) {
	const body = ": hello\n\nid: 3\ndata: {\"a\":1}\r\n\r\ndata: two\ndata:lines\n\nid: 5\n\n"
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" +
		"a;x=y\r\n" + body[:10] + "\r\n" + "2\r\n" + body[10:12] + "\r\n" + "31\r\n" + body[12:] + "\r\n"
	if len(body) != 12+0x31 {
		t.Fatal(len(body))
	}
	want := []string{`3 {"a":1}`, "3 two\nlines"}
	for name, response := range map[string]string{"chunked": chunked, "plain": "HTTP/1.0 200 OK\r\nServer: x\r\n\r\n" + body} {
		for size := 1; size <= len(response); size++ {
			var p responseParser
			var got []string
			for rest := response; rest != ""; {
				n := min(size, len(rest))
				if err := p.feed([]byte(rest[:n]), func(data []byte, id string) { got = append(got, id+" "+string(data)) }); err != nil {
					t.Fatalf("%s, fed %d bytes at a time: error %v, want none", name, size, err)
				}
				rest = rest[n:]
			}
			if !slices.Equal(got, want) {
				t.Fatalf("%s, fed %d bytes at a time: events %q, want 3 {\"a\":1} and 3 two, lines", name, size, got)
			}
		}
	}
}

// A response that is not an event stream, or has a part that exceeds its limit, is an error.
func TestInvalidResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for response, want := range map[string]error{
		strings.Repeat("x", maxHeadBytes+1):                              errHeadTooLong,
		"HTTP/1.1 503 Service Unavailable\r\n\r\n":                       nil,
		"nonsense\r\n\r\n":                                               nil,
		head + "zz\r\n":                                                  nil,
		head + strings.Repeat("1", maxChunkLine+1):                       errChunkLineTooLong,
		head + "0\r\n\r\n":                                               errEnded,
		"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxEventBytes+1): errEventTooLong,
	} {
		var p responseParser
		err := p.feed([]byte(response), func([]byte, string) { t.Errorf("invalid response %.60q yielded an event", response) })
		if err == nil || want != nil && !errors.Is(err, want) {
			t.Errorf("response %.60q: error %v, want the error of the exceeded limit or, without one, any", response, err)
		}
	}
}
