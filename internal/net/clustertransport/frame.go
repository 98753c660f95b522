// Package clustertransport carries messages between the gateways of an installation, and from an operator's tool to one of them: over
// TCP connections that each carry one way, but for a tool's, in frames that are authenticated by the installation's key.
//
// It protects against anyone without the key: what they send is refused, and so is what was sent before, on another connection or
// on the same one. It hides nothing, and does not protect against one who has the key, or who holds messages back.
package clustertransport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"larchusher/cluster"
	"larchusher/internal/net/clustertransport/linkpb"
)

const (
	magic            = "LFL1"
	challengeSize    = 16
	greetingSize     = len(magic) + challengeSize
	headerSize       = 4 + sha256.Size
	maxEnvelopeBytes = 512 << 10 // bytes of an envelope
	maxNameBytes     = 64
)

// Why a frame is refused, to be told apart by errors.Is.
var (
	ErrFrameTooLong     = errors.New("a frame is too long")
	ErrNotAuthenticated = errors.New("a frame is not authenticated")
	ErrWrongRecipient   = errors.New("a frame is for somebody else")
	ErrMalformed        = errors.New("a frame can't be read")
	ErrNoVersion        = errors.New("a frame has no version")
)

func newChallenge() []byte {
	b := make([]byte, challengeSize)
	_, _ = rand.Read(b) // it never fails
	return b
}

func mac(key, challenge, envelope []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(challenge)
	h.Write(envelope)
	return h.Sum(nil)
}

// FrameSize is what a message takes on the wire, between members with names of such a length.
func FrameSize(m cluster.Message) int {
	w := &frameWriter{from: "gateway-00", to: "gateway-00"}
	f, err := w.frame(m)
	if err != nil {
		return 0
	}
	return len(f)
}

// frameWriter words the frames of one direction of a connection.
type frameWriter struct {
	key, challenge []byte // the reader's
	from, to       string
	sequence       uint64
	ownChallenge   []byte // challenge for what comes back; told once
}

func (w *frameWriter) frame(m cluster.Message) ([]byte, error) {
	w.sequence++
	e := &linkpb.Envelope{Version: cluster.Version, From: w.from, To: w.to, Sequence: w.sequence, Message: encodeMessage(m), Challenge: w.ownChallenge}
	w.ownChallenge = nil
	b, err := proto.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("a frame: %w", err)
	}
	if len(b) > maxEnvelopeBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLong, len(b))
	}
	f := make([]byte, 0, headerSize+len(b))
	f = binary.BigEndian.AppendUint32(f, uint32(len(b)))
	f = append(f, mac(w.key, w.challenge, b)...)
	return append(f, b...), nil
}

// frameReader cuts a stream into frames and checks each. Its first error is final.
type frameReader struct {
	key, challenge []byte // its own
	self           string
	from           string // of the first frame; others are refused
	sequence       uint64
	replayed       uint64 // frames that came again, or late
	peerChallenge  []byte // challenge that the first frame told
	buf            []byte
}

// feed takes bytes and calls emit with each message.
func (r *frameReader) feed(b []byte, emit func(from string, m cluster.Message)) error {
	r.buf = append(r.buf, b...)
	for {
		if len(r.buf) < headerSize {
			return nil
		}
		n := int(binary.BigEndian.Uint32(r.buf))
		if n > maxEnvelopeBytes { // before it is waited for
			return fmt.Errorf("%w: %d bytes", ErrFrameTooLong, n)
		}
		if len(r.buf) < headerSize+n {
			return nil
		}
		sum, body := r.buf[4:headerSize], r.buf[headerSize:headerSize+n]
		if !hmac.Equal(sum, mac(r.key, r.challenge, body)) {
			return ErrNotAuthenticated
		}
		var e linkpb.Envelope
		if err := proto.Unmarshal(body, &e); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		switch {
		case e.GetVersion() == 0:
			return ErrNoVersion
		case e.GetTo() != r.self || e.GetFrom() == "" || len(e.GetFrom()) > maxNameBytes || r.from != "" && e.GetFrom() != r.from:
			return fmt.Errorf("%w: from %.64q to %.64q", ErrWrongRecipient, e.GetFrom(), e.GetTo())
		}
		if r.from == "" {
			r.from, r.peerChallenge = e.GetFrom(), e.GetChallenge()
		}
		r.buf = r.buf[headerSize+n:]
		if len(r.buf) == 0 {
			r.buf = nil
		}
		if e.GetSequence() <= r.sequence { // doubled or overtaken on its way: as good as lost
			r.replayed++
			continue
		}
		r.sequence = e.GetSequence()
		emit(r.from, decodeMessage(e.GetMessage()))
	}
}
