package client

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

// startAnsweringGateway starts a gateway that answers every request at once with 7.6 kB, and returns its address.
func startAnsweringGateway(tb testing.TB) string {
	l, err := loopback.Listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { loopback.Close(l) })
	body := []byte(strings.Repeat("x", 7600))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(c, body)
		}
	}()
	return l.Addr().String()
}

// answerAll answers each request on a connection with the given body, until the connection ends.
func answerAll(c net.Conn, body []byte) {
	defer loopback.Close(c)
	in, d := bufio.NewReader(c), msgpack.NewDecoder(nil)
	d.Reset(in)
	var out bytes.Buffer
	e := msgpack.NewEncoder(&out)
	e.UseCompactInts(true)
	for {
		v, err := d.DecodeInterfaceLoose()
		if err != nil {
			return
		}
		if m := v.([]any); len(m) == 4 {
			_ = e.Encode([]any{1, m[1], nil, []any{body, map[string]string{}}}) // writing to a buffer does not fail
		}
		if in.Buffered() > 0 {
			continue
		}
		if _, err := c.Write(out.Bytes()); err != nil {
			return
		}
		out.Reset()
	}
}

const testObject = "7f3a9c21e0b4d655"

// BenchmarkDo measures Do on an open connection.
func BenchmarkDo(b *testing.B) {
	c, err := New(Config{Gateways: []string{startAnsweringGateway(b)}, Classes: []Class{{Name: "images"}}})
	if err != nil {
		b.Fatal(err)
	}
	defer loopback.Close(c)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Do(ctx, Request{Class: "images", Object: testObject}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDoParallel measures the throughput of one client with 64 concurrent callers per processor.
func BenchmarkDoParallel(b *testing.B) {
	c, err := New(Config{Gateways: []string{startAnsweringGateway(b)}, Classes: []Class{{Name: "images"}}})
	if err != nil {
		b.Fatal(err)
	}
	defer loopback.Close(c)
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := c.Do(context.Background(), Request{Class: "images", Object: testObject}); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkRawRoundTrip measures a request and its answer on the same kind of socket without the client, as a baseline for
// BenchmarkDo.
func BenchmarkRawRoundTrip(b *testing.B) {
	nc, err := loopback.Dial(startAnsweringGateway(b))
	if err != nil {
		b.Fatal(err)
	}
	defer loopback.Close(nc)
	var out bytes.Buffer
	e, r := rpc.NewEncoder(&out), rpc.NewReader(nc)
	id := uint32(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		out.Reset()
		_ = e.Request(&rpc.Request{ID: id, Class: "images", Txn: testObject, Limit: time.Second, Object: testObject})
		if _, err := nc.Write(out.Bytes()); err != nil {
			b.Fatal(err)
		}
		if _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
