// Package signedurl verifies and issues signed URLs as content networks use them. Two forms are spoken:
//
//   - URI Signing (RFC 9246): a signed JWT in the query parameter or cookie URISigningPackage, with pinned
//     algorithms and keys chosen by kid;
//   - the common edge-auth token, st~exp~acl~hmac, in the query parameter or cookie hdnts.
//
// A URI is verified as it was sent: nothing is decoded or normalised, and what could be read in two ways is
// rejected. A [Verifier] and an [Issuer] hold no state and may be shared.
package signedurl

import (
	"strings"
	"time"
)

// Parameter names of the two forms.
const (
	URISigningPackage = "URISigningPackage"
	EdgeAuthToken     = "hdnts"
)

// Grant is what a valid token allows.
type Grant struct {
	Form    Form
	KeyID   string
	Subject string // sub or id, where the token has one
	Expiry  time.Time
	Renewal Renewal
}

// Renewal is a token's wish for a fresh one with each answer (cdniets and cdnistt of RFC 9246).
type Renewal struct {
	Span   time.Duration // how long the fresh token is good; 0: none is wanted
	Cookie bool          // it travels in a cookie
	claims map[string]any
}

// Verifier checks tokens.
type Verifier struct{ cfg Config }

// NewVerifier returns a verifier, or an error that names what is wrong with its configuration.
func NewVerifier(cfg Config) (*Verifier, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Verifier{cfg: cfg}, nil
}

// Verify checks the token of a request, given its target (path and query) and Cookie header as sent. Every
// error is an [*Error].
func (v *Verifier) Verify(target, cookie string, now time.Time) (Grant, error) {
	if err := CheckTarget(target); err != nil {
		return Grant{}, err
	}
	bare, found, err := extractToken(target, cookie)
	if err != nil {
		return Grant{}, err
	}
	if found.form == URISigning {
		return v.verifyJWT(v.cfg.Base+bare, found.token, now)
	}
	path, _, _ := strings.Cut(bare, "?")
	return v.verifyEdgeAuth(path, found.token, now)
}
