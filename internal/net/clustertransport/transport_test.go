package clustertransport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"larchusher/cluster"
	"larchusher/consensus"
	"larchusher/gateway"
	"larchusher/internal/net/clustertransport/linkpb"
	"larchusher/internal/net/transport"
	"larchusher/maintenance"
	"larchusher/replication"
)

var key = []byte("0123456789abcdef0123456789abcdef")

func drawMessage(t *rapid.T) cluster.Message {
	text := rapid.StringMatching("[a-z0-9]{0,12}")
	m := cluster.Message{
		Kind:          cluster.MessageKind(rapid.IntRange(1, 9).Draw(t, "kind")),
		ID:            rapid.Uint64().Draw(t, "id"),
		Incarnation:   rapid.Uint64().Draw(t, "incarnation"),
		NoView:        rapid.Bool().Draw(t, "no view"),
		ViewDigest:    rapid.Uint64().Draw(t, "digest"),
		Revision:      rapid.Uint64().Draw(t, "revision"),
		NotifiedEpoch: rapid.Uint64().Draw(t, "notified"),
		StoppedEpoch:  rapid.Uint64().Draw(t, "stopped"),
		Query:         text.Draw(t, "query"),
		Rejected:      text.Draw(t, "rejected"),
	}
	if rapid.Bool().Draw(t, "value") {
		m.Value = []byte(text.Draw(t, "bytes"))
	}
	if m.Kind == cluster.ConsensusMessage {
		m.Consensus = drawConsensus(t)
	}
	if rapid.Bool().Draw(t, "report") {
		m.Report = &cluster.Report{Pressure: text.Draw(t, "pressure"), Machines: map[string]maintenance.Machine{
			"b1": {Kind: "box", Zone: "z", Up: true, BootMs: 17, Weight: 2.5, Utilization: -1},
		}}
	}
	if rapid.Bool().Draw(t, "replication") {
		m.Replication = drawReplication(t, m)
	}
	return m
}

func drawConsensus(t *rapid.T) consensus.Message {
	ballot := func(name string) consensus.Ballot {
		return consensus.Ballot{Number: rapid.Uint64().Draw(t, name), Voter: rapid.StringMatching("[a-z0-9]{0,12}").Draw(t, name)}
	}
	return consensus.Message{
		Kind:           consensus.MessageKind(rapid.IntRange(1, 9).Draw(t, "consensus kind")),
		Incarnation:    7,
		Ballot:         ballot("ballot"),
		NextBallot:     ballot("next"),
		AcceptedBallot: ballot("accepted"),
		State:          consensus.State{Revision: 3, Incarnations: map[string]uint64{"a": rapid.Uint64().Draw(t, "a")}, Value: []byte("x")},
	}
}

func drawReplication(t *rapid.T, m cluster.Message) *replication.Message {
	text := rapid.StringMatching("[a-z0-9]{0,12}")
	writer := replication.Incarnation{Name: "w" + text.Draw(t, "writer"), Number: rapid.Uint64().Draw(t, "number")}
	slot := replication.Slot{Writer: writer, Seq: 9, Kind: replication.Kind(rapid.Uint32().Draw(t, "slot")), Key: text.Draw(t, "key"),
		Value: []byte("v"), Timestamp: m.Incarnation}
	return &replication.Message{
		Kind:     replication.PullReply,
		ID:       m.ID,
		MaxBytes: 17,
		More:     m.NoView,
		Versions: []replication.StreamVersions{{Incarnation: writer, UpTo: [2]uint64{m.Incarnation, 3}}},
		Checksum: &replication.RangeChecksum{Incarnation: writer, Stream: replication.Bulk, From: 3, To: m.Incarnation, Sum: m.ViewDigest},
		Slots:    []replication.TransferredSlot{{Slot: slot, MaxAge: 70 * time.Microsecond, MinAge: 30 * time.Microsecond}},
	}
}

// A former version proposed values without a Prepare, so without the promise of a majority. Its Accept messages, which have a prior
// ballot, must be decoded as a kind that voters ignore.
func TestAcceptWithPriorBallotIsIgnored(t *testing.T) {
	pb := encodeMessage(cluster.Message{Kind: cluster.ConsensusMessage, Consensus: consensus.Message{Kind: consensus.Accept, Ballot: consensus.Ballot{Number: 5, Voter: "a"}}})
	if decodeMessage(pb).Consensus.Kind != consensus.Accept {
		t.Fatal("an Accept without a prior ballot is not decoded as one")
	}
	pb.Vote.Prior = encodeBallot(consensus.Ballot{Number: 4, Voter: "a"})
	if got := decodeMessage(pb).Consensus.Kind; got != 0 {
		t.Errorf("an Accept with a prior ballot is decoded as kind %v, want 0", got)
	}
}

// A stream is decoded to the messages that were written, in whatever pieces it arrives. If a byte of it was changed, no message is
// decoded from the frame with that byte on.
func TestFramesRoundTripOrAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		challenge := bytes.Repeat([]byte{7}, challengeSize)
		w := &frameWriter{key: key, challenge: challenge, from: "a", to: "b"}
		var sent []cluster.Message
		var stream []byte
		var ends []int
		for range rapid.IntRange(1, 4).Draw(t, "frames") {
			m := drawMessage(t)
			f, err := w.frame(m)
			if err != nil {
				t.Fatal(err)
			}
			sent, stream = append(sent, m), append(stream, f...)
			ends = append(ends, len(stream))
		}
		intact := len(sent)
		if rapid.Bool().Draw(t, "change") {
			at := rapid.IntRange(0, len(stream)-1).Draw(t, "at")
			stream[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
			intact = 0
			for intact < len(ends) && ends[intact] <= at {
				intact++
			}
		}
		r := &frameReader{key: key, challenge: challenge, self: "b"}
		var got []cluster.Message
		var err error
		for len(stream) > 0 && err == nil {
			n := rapid.IntRange(1, len(stream)).Draw(t, "piece")
			err = r.feed(stream[:n], func(_ string, m cluster.Message) { got = append(got, m) })
			stream = stream[n:]
		}
		if !reflect.DeepEqual(got, sent[:intact]) && len(got)+intact > 0 {
			t.Fatalf("%+v were decoded, want %+v", got, sent[:intact])
		}
	})
}

func frameOf(t *testing.T, w *frameWriter, m cluster.Message) []byte {
	t.Helper()
	f, err := w.frame(m)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Frames are rejected that have another key, were made for another connection or recipient, have no sender or no version, or are too
// long. Frames that are replayed or overtaken on the same connection are ignored.
func TestForgedAndReplayedFrames(t *testing.T) {
	challenge, otherChallenge := bytes.Repeat([]byte{1}, challengeSize), bytes.Repeat([]byte{2}, challengeSize)
	writer := func() *frameWriter { return &frameWriter{key: key, challenge: challenge, from: "a", to: "b"} }
	withoutVersion := func() []byte {
		b, _ := proto.Marshal(&linkpb.Envelope{From: "a", To: "b", Sequence: 1})
		return append(append([]byte{0, 0, 0, byte(len(b))}, mac(key, challenge, b)...), b...)
	}
	for _, c := range []struct {
		name   string
		stream []byte
		want   error
	}{
		{"another key", frameOf(t, &frameWriter{key: []byte("x"), challenge: challenge, from: "a", to: "b"}, cluster.Message{Kind: cluster.RenewLease}), ErrNotAuthenticated},
		{"challenge of another connection", frameOf(t, &frameWriter{key: key, challenge: otherChallenge, from: "a", to: "b"}, cluster.Message{Kind: cluster.RenewLease}), ErrNotAuthenticated},
		{"another recipient", frameOf(t, &frameWriter{key: key, challenge: challenge, from: "a", to: "c"}, cluster.Message{Kind: cluster.RenewLease}), ErrWrongRecipient},
		{"no sender", frameOf(t, &frameWriter{key: key, challenge: challenge, to: "b"}, cluster.Message{Kind: cluster.RenewLease}), ErrWrongRecipient},
		{"no version", withoutVersion(), ErrNoVersion},
		{"too long", []byte{0x7f, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, ErrFrameTooLong},
		{"HTTP", []byte("GET / HTTP/1.1\r\nHost: somewhere.example\r\n\r\n"), ErrFrameTooLong},
	} {
		r := &frameReader{key: key, challenge: challenge, self: "b"}
		err := r.feed(c.stream, func(string, cluster.Message) { t.Errorf("%s: the message was accepted", c.name) })
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	w := writer()
	first, second := frameOf(t, w, cluster.Message{Kind: cluster.RenewLease, ID: 1}), frameOf(t, w, cluster.Message{Kind: cluster.RenewLease, ID: 2})
	r, n := &frameReader{key: key, challenge: challenge, self: "b"}, 0
	for _, f := range [][]byte{second, first, second} {
		if err := r.feed(f, func(string, cluster.Message) { n++ }); err != nil {
			t.Fatal(err)
		}
	}
	if n != 1 || r.replayed != 2 {
		t.Errorf("after an overtaken and a duplicated frame %d messages were accepted, want 1; %d frames were ignored, want 2", n, r.replayed)
	}
	r = &frameReader{key: key, challenge: challenge, self: "b"}
	other := &frameWriter{key: key, challenge: challenge, from: "c", to: "b", sequence: 5}
	if err := r.feed(append(frameOf(t, writer(), cluster.Message{}), frameOf(t, other, cluster.Message{})...), func(string, cluster.Message) {}); !errors.Is(err, ErrWrongRecipient) {
		t.Errorf("two senders on one connection: %v, want ErrWrongRecipient", err)
	}
	if _, err := writer().frame(cluster.Message{Value: make([]byte, maxEnvelopeBytes+1)}); !errors.Is(err, ErrFrameTooLong) {
		t.Errorf("a message of more than maxEnvelopeBytes: %v, want ErrFrameTooLong", err)
	}
}

func TestAcceptorStateRoundTrip(t *testing.T) {
	v := consensus.AcceptorState{Incarnation: 9, Promised: consensus.Ballot{Number: 4, Voter: "a"}, Accepted: consensus.Ballot{Number: 3, Voter: "b"}, Initialized: true,
		State: consensus.State{Revision: 2, Incarnations: map[string]uint64{"a": 1}, Value: []byte("{}")}}
	b, err := EncodeAcceptorState(v)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeAcceptorState(b); err != nil || !reflect.DeepEqual(got, v) {
		t.Errorf("decoded %+v, error %v, want the state that was encoded, and no error", got, err)
	}
	for _, bad := range [][]byte{nil, {0xff, 0xff}, b[:len(b)-1]} {
		if _, err := DecodeAcceptorState(bad); err == nil {
			t.Errorf("no error for the damaged encoding %x", bad)
		}
	}
}

// Two members exchange messages over a connection in each direction, also after one of them restarts. A tool gets its replies on its
// own connection. A tool without the key gets an error, which is not a timeout.
func TestTransport(t *testing.T) {
	members := freeMembers(t, "a", "b")
	a, b := startMember(t, members, 0), startMember(t, members, 1)
	sendUntilReceived(t, a, b, "b", 1)
	sendUntilReceived(t, b, a, "a", 2)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	tool := dialTool(ctx, t, members[0], key)
	for range 2 {
		if m, err := tool.Request(ctx, cluster.Message{Query: "state"}); err != nil || string(m.Value) != "yes" {
			t.Fatalf("reply to a tool's request: %+v, error %v, want the value yes", m, err)
		}
	}
	wrongKey := dialTool(ctx, t, members[0], []byte("another key altogether, 32 bytes"))
	if _, err := wrongKey.Request(ctx, cluster.Message{Query: "state"}); err == nil || strings.Contains(err.Error(), "deadline") {
		t.Errorf("request without the key: error %v, want one that is not a timeout", err)
	}
	closed := make(chan struct{})
	b.loop.Post(func() { b.transport.Close(); close(closed) })
	<-closed
	b = startMember(t, members, 1)
	sendUntilReceived(t, a, b, "b", 3)
}

// After the first frame of a connection was rejected, no message is received from it, even if more frames arrived in the same read.
func TestNoMessageAfterRejectedFrame(t *testing.T) {
	members := freeMembers(t, "a")
	a := startMember(t, members, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	unregistered := dialTool(ctx, t, members[0], key)
	unregistered.writer.from, unregistered.writer.ownChallenge = "stranger", nil // neither a member nor a tool
	var frames []byte
	for id := range uint64(2) {
		f, err := unregistered.writer.frame(cluster.Message{Kind: cluster.RenewLease, ID: id + 1})
		if err != nil {
			t.Fatal(err)
		}
		frames = append(frames, f...)
	}
	if _, err := unregistered.conn.Write(frames); err != nil {
		t.Fatal(err)
	}
	if _, err := unregistered.conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection of a sender that is neither a member nor a tool was not closed")
	}
	select {
	case m := <-a.received:
		t.Errorf("message %d was received after a rejected frame", m.ID)
	case <-time.After(200 * time.Millisecond):
	}
}

// A frame that was read before the transport closed, but reaches the event loop only after that, is ignored.
func TestNoMessageAfterClose(t *testing.T) {
	members := freeMembers(t, "a", "b")
	a, b := startMember(t, members, 0), startMember(t, members, 1)
	sendUntilReceived(t, b, a, "a", 1)
	loopBlocked, closed := make(chan struct{}), make(chan struct{})
	a.loop.Post(func() {
		close(loopBlocked)
		time.Sleep(200 * time.Millisecond) // the frame arrives in the meantime and is posted to the loop after this function
		a.transport.Close()
		close(closed)
	})
	<-loopBlocked
	for len(a.received) > 0 {
		<-a.received // duplicates that sendUntilReceived sent
	}
	b.loop.Post(func() { b.transport.Send("a", cluster.Message{Kind: cluster.RenewLease, ID: 2}) })
	<-closed
	select {
	case m := <-a.received:
		t.Errorf("message %d was received after the transport was closed", m.ID)
	case <-time.After(200 * time.Millisecond):
	}
}

// freeMembers returns members with addresses that were free a moment ago.
func freeMembers(t *testing.T, names ...string) (members []Member) {
	t.Helper()
	for _, name := range names {
		var lc net.ListenConfig
		l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		members = append(members, Member{name, l.Addr().String()})
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return members
}

// runningMember answers operators' requests with "yes", and passes all other messages to received.
type runningMember struct {
	loop      *gateway.Loop
	transport *Transport
	received  chan cluster.Message
}

func startMember(t *testing.T, members []Member, i int) *runningMember {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &runningMember{loop: gateway.NewLoop(), received: make(chan cluster.Message, 100)}
	engine, err := transport.New(log, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	var opened atomic.Pointer[Transport]
	m.transport, err = Open(members[i].Name, members[i].Addr, members, key, m.loop, engine, log, func(from string, msg cluster.Message) {
		if msg.Kind == cluster.OperatorRequest {
			opened.Load().Send(from, cluster.Message{Kind: cluster.OperatorReply, ID: msg.ID, Value: []byte("yes")})
			return
		}
		m.received <- msg
	})
	if err != nil {
		t.Fatal(err)
	}
	opened.Store(m.transport)
	go m.loop.Run()
	t.Cleanup(func() { m.loop.Post(m.transport.Close); m.loop.Post(m.loop.Close); engine.Stop() })
	return m
}

// sendUntilReceived repeats a message until it arrives, because messages may be lost while a connection is being opened.
func sendUntilReceived(t *testing.T, from, to *runningMember, name string, id uint64) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		from.loop.Post(func() { from.transport.Send(name, cluster.Message{Kind: cluster.RenewLease, ID: id}) })
		select {
		case m := <-to.received:
			if m.ID == id {
				return
			}
		case <-time.After(50 * time.Millisecond):
		case <-timeout:
			t.Fatalf("no message arrived at %s within 10 s", name)
		}
	}
}

func dialTool(ctx context.Context, t *testing.T, m Member, key []byte) *Tool {
	t.Helper()
	tool, err := DialTool(ctx, m.Name, m.Addr, key)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tool.Close() }) // the gateway may have closed the connection already
	return tool
}

// DialTool returns errNoGreeting if another program listens on the address, whether that sends something else or closes the
// connection.
func TestDialToolReportsWrongGreeting(t *testing.T) {
	for name, greeting := range map[string]string{"another protocol": "HTTP/1.1 400 Bad Request\r\n\r\n", "closed": ""} {
		var lc net.ListenConfig
		l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(greeting))
			_ = conn.Close()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, err = DialTool(ctx, "a", l.Addr().String(), key)
		cancel()
		if !errors.Is(err, errNoGreeting) || strings.Contains(err.Error(), "nil") {
			t.Errorf("%s: error %v, want errNoGreeting", name, err)
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
}
