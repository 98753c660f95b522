package msgpackrpc

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
)

// requestFrame encodes a request of the class images with message ID 7, as a client does.
func requestFrame(fields [][2]string, body string) []byte {
	b := appendUint([]byte{codeArray4, typeRequest}, 7)
	b = appendText(b, "images")
	b = append(b, codeArray2, codeMap0|byte(len(fields)))
	for _, f := range fields {
		b = appendText(appendText(b, f[0]), f[1])
	}
	return append(appendBinHead(b, len(body)), body...)
}

// parseOne parses a frame that holds exactly one message, received at the given time.
func parseOne(t *testing.T, frame []byte, at time.Time) clientMessage {
	t.Helper()
	m, rest, incomplete, err := nextMessage(frame)
	if err != nil || incomplete || len(rest) > 0 {
		t.Fatal(rest, incomplete, err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &conn{front: &Front{log: log}}
	c.front.SetClasses([]string{"images"})
	return c.parseMessage(&m, at)
}

// Each field name of the protocol sets one field of the request; unknown names are ignored.
func TestRequestFields(t *testing.T) {
	base := [][2]string{{"txn", "0123456789abcdef"}, {"item", "fedcba9876543210"}, {"limit", "1500"}}
	at := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		value string
		want  func(r *gateway.Request) bool
	}{
		"unique":  {"key-1", func(r *gateway.Request) bool { return r.IdempotencyKey == "key-1" }},
		"mine":    {"tag.2", func(r *gateway.Request) bool { return r.IfNoneMatch == "tag.2" }},
		"second":  {"1", func(r *gateway.Request) bool { return r.Retry }},
		"n":       {"12", func(r *gateway.Request) bool { return r.Part == 12 }},
		"shard":   {"255", func(r *gateway.Request) bool { return r.Group == 255 }},
		"ram":     {"17.5", func(r *gateway.Request) bool { return r.SizeKB == 17.5 }},
		"unknown": {"x", func(*gateway.Request) bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			without := parseOne(t, requestFrame(base, "body"), at)
			m := parseOne(t, requestFrame(append(base[:3:3], [2]string{name, c.value}), "body"), at)
			if m.kind != requestMessage || m.id != 7 {
				t.Fatalf("parsed as %+v, want a request with message ID 7", m)
			}
			r := m.request
			if r.ID != "0123456789abcdef" || r.Object != "fedcba9876543210" || r.Class != "images" || string(r.Body) != "body" ||
				!r.Deadline.Equal(at.Add(1500*time.Millisecond)) {
				t.Errorf("request %+v lacks a value of the common fields, the class or the body", r)
			}
			if !c.want(r) || name != "unknown" && c.want(without.request) {
				t.Errorf("field %s does not set its request field: %+v", name, r)
			}
		})
	}
}

// A request with a missing field, or one that cannot be passed on to endpoints, is reported as unreadable with its
// class.
func TestUnreadableRequests(t *testing.T) {
	for name, fields := range map[string][][2]string{
		"no id":             {{"item", "fedcba9876543210"}, {"limit", "1500"}},
		"no object":         {{"txn", "0123456789abcdef"}, {"limit", "1500"}},
		"upper case":        {{"txn", "0123456789ABCDEF"}, {"item", "fedcba9876543210"}, {"limit", "1500"}},
		"no limit":          {{"txn", "0123456789abcdef"}, {"item", "fedcba9876543210"}},
		"group beyond 255":  {{"txn", "0123456789abcdef"}, {"item", "fedcba9876543210"}, {"limit", "1"}, {"shard", "256"}},
		"key with a comma":  {{"txn", "0123456789abcdef"}, {"item", "fedcba9876543210"}, {"limit", "1"}, {"unique", "a,b"}},
		"part not a number": {{"txn", "0123456789abcdef"}, {"item", "fedcba9876543210"}, {"limit", "1"}, {"n", "two"}},
	} {
		if m := parseOne(t, requestFrame(fields, ""), time.Unix(1000, 0)); m.kind != unreadableMessage || m.class != "images" {
			t.Errorf("%s: parsed as %+v, want an unreadable message of class images", name, m)
		}
	}
}

// An incomplete message asks for more bytes; bytes that cannot become a message are an error at once.
func TestNextMessage(t *testing.T) {
	frame := requestFrame([][2]string{{"txn", "0123456789abcdef"}}, "body")
	for n := range len(frame) {
		if _, rest, incomplete, err := nextMessage(frame[:n]); !incomplete || err != nil || len(rest) != n {
			t.Fatalf("%d of %d bytes: incomplete %v, error %v, want true, no error and no bytes consumed", n, len(frame), incomplete, err)
		}
	}
	two := append(append([]byte(nil), frame...), frame...)
	if _, rest, incomplete, err := nextMessage(two); incomplete || err != nil || len(rest) != len(frame) {
		t.Errorf("two messages: %d bytes left after the first, incomplete %v, error %v, want the second message, false and no error", len(rest), incomplete, err)
	}
	for _, bad := range [][]byte{{0xc1}, {0x07}, {codeArray2, typeResponse, 1}, make([]byte, maxFrameBytes+1)} {
		if _, _, incomplete, err := nextMessage(bad); incomplete || err == nil {
			t.Errorf("invalid bytes %x... gave no error, or were taken for an incomplete message", bad[:1])
		}
	}
}
