// Package signedurl verifies and issues signed URLs as content delivery networks use them. It supports two forms of tokens:
//
//   - URI Signing (RFC 9246): a signed JWT in the query parameter or cookie URISigningPackage. The kid selects the key, and
//     each key is pinned to one algorithm;
//   - edge-auth: the fields st, exp and acl with an HMAC, st~exp~acl~hmac, in the query parameter or cookie hdnts. The field
//     data may hold a digest of the query, which is then part of what is signed.
//
// A URI is verified exactly as it was sent, without decoding or normalisation. A URI that servers could interpret in
// different ways is rejected; see [CheckTarget]. A [Verifier] and an [Issuer] are immutable and safe for concurrent use.
package signedurl

import (
	"strings"
	"time"
)

// Names of the query parameters and cookies that carry tokens.
const (
	URISigningPackage = "URISigningPackage" // for the form URISigning
	EdgeAuthToken     = "hdnts"             // for the form EdgeAuth
)

// Grant describes a valid token.
type Grant struct {
	Form    Form
	KeyID   string    // Key.ID of the key that signed the token
	Subject string    // claim sub or field id; empty: the token has none
	Expiry  time.Time // as in the token, without the leeway
	Renewal Renewal
	// CoversQuery is set if the token is for this query alone. Otherwise the query may have been altered after the URL was
	// signed: the token is for a pattern, or an edge-auth token without a digest of the query.
	CoversQuery bool
}

// Renewal tells whether each answer is to carry a renewed token (claims cdniets and cdnistt of RFC 9246).
type Renewal struct {
	Span   time.Duration  // lifetime of the renewed token; 0: the token is not renewed
	Cookie bool           // the renewed token is sent in a cookie
	claims map[string]any // claims of the verified token
}

// Verifier verifies the tokens of requests. Create one with [NewVerifier]. It is safe for concurrent use.
type Verifier struct{ cfg Config }

// NewVerifier returns a verifier, or an error that names the invalid field of the configuration.
func NewVerifier(cfg Config) (*Verifier, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Verifier{cfg: cfg}, nil
}

// Verify verifies the token of a request at the time now. target (path and query) and cookie (the Cookie header) are passed
// as they were sent. Every error is an [*Error], whose reason [ReasonOf] returns.
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
	path, query, _ := strings.Cut(bare, "?")
	return v.verifyEdgeAuth(path, query, found.token, now)
}
