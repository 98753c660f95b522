package signedurl

import (
	"errors"
	"fmt"
)

// Reason is the reason why a token or a target was rejected. It contains no secret and may be sent to clients.
type Reason string

// Reasons of rejections.
const (
	MissingToken     Reason = "missing_token"     // the request has no token
	DuplicateToken   Reason = "duplicate_token"   // the request has several tokens
	MalformedURI     Reason = "malformed_uri"     // CheckTarget rejected the target
	MalformedToken   Reason = "malformed_token"   // the token cannot be parsed, or lacks a required part
	UnknownKey       Reason = "unknown_key"       // no key has the token's kid, or there is no key for edge-auth
	BadAlgorithm     Reason = "bad_algorithm"     // the token's algorithm is not that of the key
	BadSignature     Reason = "bad_signature"     // the signature is invalid
	Expired          Reason = "expired"           // the token has expired
	NotYetValid      Reason = "not_yet_valid"     // the token is not valid yet
	URIMismatch      Reason = "uri_mismatch"      // the token is for other URIs
	UnsupportedClaim Reason = "unsupported_claim" // the token has a claim or a field that is not supported
)

// Error is the error of a token or a target that was rejected.
type Error struct {
	Reason Reason
	Detail error // particulars for logs; may be nil
}

// Error returns the reason and the detail.
func (e *Error) Error() string {
	if e.Detail == nil {
		return "signed URL rejected: " + string(e.Reason)
	}
	return fmt.Sprintf("signed URL rejected: %s: %v", e.Reason, e.Detail)
}

// Unwrap returns the detail, which may be nil.
func (e *Error) Unwrap() error { return e.Detail }

// ReasonOf returns the reason of the [*Error] in err's chain, or "" if there is none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// reject returns an [*Error] with a reason and a formatted detail.
func reject(r Reason, format string, args ...any) error {
	return &Error{Reason: r, Detail: fmt.Errorf(format, args...)}
}
