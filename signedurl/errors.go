package signedurl

import (
	"errors"
	"fmt"
)

// Reason says why a token was rejected. It names no secret and may be shown to clients.
type Reason string

// The reasons.
const (
	MissingToken     Reason = "missing_token"
	DuplicateToken   Reason = "duplicate_token"
	MalformedURI     Reason = "malformed_uri"
	MalformedToken   Reason = "malformed_token"
	UnknownKey       Reason = "unknown_key"
	BadAlgorithm     Reason = "bad_algorithm"
	BadSignature     Reason = "bad_signature"
	Expired          Reason = "expired"
	NotYetValid      Reason = "not_yet_valid"
	URIMismatch      Reason = "uri_mismatch"
	UnsupportedClaim Reason = "unsupported_claim"
)

// Error says that a token or a target was rejected, and why.
type Error struct {
	Reason Reason
	Detail error // for logs; may be nil
}

func (e *Error) Error() string {
	if e.Detail == nil {
		return "signed URL refused: " + string(e.Reason)
	}
	return fmt.Sprintf("signed URL refused: %s: %v", e.Reason, e.Detail)
}

func (e *Error) Unwrap() error { return e.Detail }

// ReasonOf returns the reason in err, or "" where there is none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// reject returns an [*Error] with a detail for logs.
func reject(r Reason, format string, args ...any) error {
	return &Error{Reason: r, Detail: fmt.Errorf(format, args...)}
}
