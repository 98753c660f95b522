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

// The greeting is magic and a challenge. A frame is the length of an envelope (4 bytes, big endian), the HMAC-SHA256 of
// challenge and envelope, and the envelope.
const (
	magic            = "LFL1"
	challengeSize    = 16
	greetingSize     = len(magic) + challengeSize
	lengthSize       = 4
	headerSize       = lengthSize + sha256.Size
	maxEnvelopeBytes = 512 << 10
	maxNameBytes     = 64
)

// Why a frame is rejected, to be told apart by errors.Is.
var (
	ErrFrameTooLong     = errors.New("a frame is too long")
	ErrNotAuthenticated = errors.New("a frame is not authenticated")
	ErrWrongRecipient   = errors.New("a frame is for somebody else")
	ErrMalformed        = errors.New("a frame can't be read")
	ErrNoVersion        = errors.New("a frame has no version")
)

// errNoGreeting reports that who accepted a connection is no member.
var errNoGreeting = errors.New("not the greeting of a member")

func newChallenge() []byte {
	b := make([]byte, challengeSize)
	_, _ = rand.Read(b) // never fails
	return b
}

// parseGreeting returns the challenge of a greeting; false: it is none.
func parseGreeting(b []byte) (challenge []byte, ok bool) {
	if len(b) != greetingSize || string(b[:len(magic)]) != magic {
		return nil, false
	}
	return b[len(magic):], true
}

func mac(key, challenge, envelope []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(challenge)
	h.Write(envelope)
	return h.Sum(nil)
}

// FrameSize is the size of a message on the wire, in bytes, between members with names of ten characters; 0: it can't be encoded.
func FrameSize(m cluster.Message) int {
	w := &frameWriter{from: "gateway-00", to: "gateway-00"}
	f, err := w.frame(m)
	if err != nil {
		return 0
	}
	return len(f)
}

// frameWriter makes the frames of one direction of a connection.
type frameWriter struct {
	key, challenge []byte // the challenge is the receiver's
	from, to       string
	sequence       uint64
	ownChallenge   []byte // for the frames that come back; sent with the first frame
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
	key, challenge []byte // the challenge is its own
	self           string
	from           string // sender of the first frame; others are rejected
	sequence       uint64
	replayed       uint64 // frames that came again, or out of order
	peerChallenge  []byte // that came with the first frame
	buf            []byte // without a complete frame yet
}

// feed takes bytes and calls emit with each message.
func (r *frameReader) feed(b []byte, emit func(from string, m cluster.Message)) error {
	r.buf = append(r.buf, b...)
	for {
		envelope, err := r.next()
		if err != nil || envelope == nil {
			return err
		}
		var e linkpb.Envelope
		if err := proto.Unmarshal(envelope, &e); err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if err := r.checkEnvelope(&e); err != nil {
			return err
		}
		if r.from == "" {
			r.from, r.peerChallenge = e.GetFrom(), e.GetChallenge()
		}
		if e.GetSequence() <= r.sequence { // duplicated or overtaken on its way: as good as lost
			r.replayed++
			continue
		}
		r.sequence = e.GetSequence()
		emit(r.from, decodeMessage(e.GetMessage()))
	}
}

// next cuts off the next envelope that is complete, and authentic; nil: there is none yet.
func (r *frameReader) next() ([]byte, error) {
	if len(r.buf) < headerSize {
		return nil, nil
	}
	size := int(binary.BigEndian.Uint32(r.buf))
	if size > maxEnvelopeBytes { // before that much is waited for
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLong, size)
	}
	end := headerSize + size
	if len(r.buf) < end {
		return nil, nil
	}
	code, envelope := r.buf[lengthSize:headerSize], r.buf[headerSize:end:end]
	if !hmac.Equal(code, mac(r.key, r.challenge, envelope)) {
		return nil, ErrNotAuthenticated
	}
	r.buf = r.buf[end:]
	if len(r.buf) == 0 {
		r.buf = nil
	}
	return envelope, nil
}

// checkEnvelope rejects envelopes without a version, for another member, and of another sender than the first.
func (r *frameReader) checkEnvelope(e *linkpb.Envelope) error {
	if e.GetVersion() == 0 {
		return ErrNoVersion
	}
	from, to := e.GetFrom(), e.GetTo()
	validSender := from != "" && len(from) <= maxNameBytes && (r.from == "" || from == r.from)
	if to != r.self || !validSender {
		return fmt.Errorf("%w: from %.64q to %.64q", ErrWrongRecipient, from, to)
	}
	return nil
}
