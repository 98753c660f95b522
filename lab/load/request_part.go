package load

import (
	"fmt"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

// RequestPart requests one part of an object from the gateway at addr and returns a one-line description of the answer.
// Sending the request and reading the answer may take 10 s. The error is that of the connection or of reading the answer; a
// rejection or a failure reported by the gateway is part of the description.
func RequestPart(addr, class, object string, part int) (string, error) {
	c, err := loopback.Dial(addr)
	if err != nil {
		return "", err
	}
	defer loopback.Close(c)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	r := &rpc.Request{ID: 1, Class: class, Txn: fmt.Sprintf("%016x", time.Now().UnixNano()), Limit: 3 * time.Second, Object: object,
		Part: part, Group: 17}
	if class == "orders" {
		r.Key = fmt.Sprintf("%032x", time.Now().UnixNano())
	}
	if err := rpc.NewEncoder(c).Request(r); err != nil {
		return "", err
	}
	a, err := rpc.NewReader(c).Next()
	switch {
	case err != nil:
		return "", err
	case a.Error == rpc.Backoff:
		return fmt.Sprintf("refused, come back in %d ms", a.RetryAfter.Milliseconds()), nil
	case a.Error != "":
		return "failed: " + a.Error, nil
	}
	return fmt.Sprintf("served, %d bytes", len(a.Body)), nil
}
