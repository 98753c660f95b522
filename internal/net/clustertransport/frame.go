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

// The greeting of a connection is the magic and a challenge. A frame is the length of its envelope (4 bytes, big endian), the
// HMAC-SHA-256 over the challenge and the envelope, and the envelope.
const (
	magic            = "LFL1"
	challengeSize    = 16
	greetingSize     = len(magic) + challengeSize
	lengthSize       = 4
	headerSize       = lengthSize + sha256.Size
	maxEnvelopeBytes = 512 << 10
	maxNameBytes     = 64
)

// Errors for which a frame is rejected and its connection closed, for errors.Is.
var (
	ErrFrameTooLong     = errors.New("envelope of a frame exceeds the maximum of 512 KiB")
	ErrNotAuthenticated = errors.New("frame has no valid MAC for this key and connection")
	ErrWrongRecipient   = errors.New("frame has the wrong sender or recipient")
	ErrMalformed        = errors.New("frame can't be decoded")
	ErrNoVersion        = errors.New("frame has no version")
)

// errNoGreeting reports that the accepting side of a connection did not send the greeting of a cluster member.
var errNoGreeting = errors.New("no valid greeting of a cluster member received")

func newChallenge() []byte {
	b := make([]byte, challengeSize)
	_, _ = rand.Read(b) // never fails
	return b
}

// parseGreeting returns the challenge in a greeting, or false if the bytes are not a greeting.
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

// FrameSize returns the size in bytes of a message on the wire, between members with names of ten characters; 0 if the message
// can't be encoded.
func FrameSize(m cluster.Message) int {
	w := &frameWriter{from: "gateway-00", to: "gateway-00"}
	f, err := w.frame(m)
	if err != nil {
		return 0
	}
	return len(f)
}

// frameWriter encodes the frames of one direction of a connection. It is not safe for concurrent use.
type frameWriter struct {
	key, challenge []byte // challenge is the one that the receiver sent
	from, to       string
	sequence       uint64
	ownChallenge   []byte // the receiver computes the MACs of its frames over it; sent with the first frame, then nil
}

func (w *frameWriter) frame(m cluster.Message) ([]byte, error) {
	w.sequence++
	e := &linkpb.Envelope{Version: cluster.Version, From: w.from, To: w.to, Sequence: w.sequence, Message: encodeMessage(m), Challenge: w.ownChallenge}
	w.ownChallenge = nil
	b, err := proto.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encoding a frame: %w", err)
	}
	if len(b) > maxEnvelopeBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLong, len(b))
	}
	f := make([]byte, 0, headerSize+len(b))
	f = binary.BigEndian.AppendUint32(f, uint32(len(b)))
	f = append(f, mac(w.key, w.challenge, b)...)
	return append(f, b...), nil
}

// frameReader splits a byte stream into frames and checks each of them. After its first error it must not be used any more.
type frameReader struct {
	key, challenge []byte // challenge is the one that this side sent
	self           string
	from           string // sender of the first frame; frames from other senders are rejected
	sequence       uint64
	replayed       uint64 // frames that were ignored because their sequence number was not higher than the one before
	peerChallenge  []byte // challenge in the first frame; a tool sends one
	buf            []byte // bytes received after the last complete frame
}

// feed appends received bytes and calls emit with each message that is complete.
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
		if e.GetSequence() <= r.sequence { // duplicated or overtaken: ignored like a lost message
			r.replayed++
			continue
		}
		r.sequence = e.GetSequence()
		emit(r.from, decodeMessage(e.GetMessage()))
	}
}

// next removes the next envelope from the buffer and returns it after checking its MAC; nil: it is not complete yet.
func (r *frameReader) next() ([]byte, error) {
	if len(r.buf) < headerSize {
		return nil, nil
	}
	size := int(binary.BigEndian.Uint32(r.buf))
	if size > maxEnvelopeBytes { // checked before that many bytes are buffered
		return nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLong, size)
	}
	end := headerSize + size
	if len(r.buf) < end {
		return nil, nil
	}
	frameMAC, envelope := r.buf[lengthSize:headerSize], r.buf[headerSize:end:end]
	if !hmac.Equal(frameMAC, mac(r.key, r.challenge, envelope)) {
		return nil, ErrNotAuthenticated
	}
	r.buf = r.buf[end:]
	if len(r.buf) == 0 {
		r.buf = nil
	}
	return envelope, nil
}

// checkEnvelope returns an error for an envelope without a version, for another recipient, without a valid sender, or from another
// sender than the first one on the connection.
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
