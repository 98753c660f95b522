package client

import (
	"errors"
	"io"
	"net"
	"strconv"
	"testing"
)

// Guards against a second run of a keyed request for which a proxy between client and gateway answers 503, as proxies do when they
// lose the connection to the gateway with the request: only a gateway's own refusal shows that it did not run.
func TestOnlyGatewayRefusesKeyedRequest(t *testing.T) {
	for _, c := range []struct {
		class, body string
		want        error
	}{
		{"turn", "refused: trying again is harmless\n", ErrRefused},
		{"turn", "upstream connect error or disconnect/reset before headers", ErrFailed},
		{"turn", "", ErrFailed},
		{"image", "upstream connect error or disconnect/reset before headers", ErrRefused},
	} {
		answer := "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 5\r\nContent-Length: " + strconv.Itoa(len(c.body)) + "\r\n\r\n" + c.body
		gw := startFakeGateway(t, func(gw *fakeGateway, conn *net.TCPConn) {
			next := newHTTPReader(conn)
			for {
				if _, err := gw.receiveRequest(conn, next); err != nil {
					return
				}
				if _, err := io.WriteString(conn, answer); err != nil {
					return
				}
			}
		})
		if err := doCall(t, newTestClient(t, gw.addr, &HTTP{}), c.class); !errors.Is(err, c.want) {
			t.Errorf("class %s, 503 with the body %q: error %v, want %v", c.class, c.body, err, c.want)
		}
	}
}
