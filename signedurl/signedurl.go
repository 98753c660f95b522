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
	"crypto"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Parameter names of the two forms.
const (
	URISigningPackage = "URISigningPackage"
	EdgeAuthToken     = "hdnts"
)

// Form is one form of token.
type Form string

// The forms.
const (
	URISigning Form = "uri-signing"
	EdgeAuth   Form = "edge-auth"
)

// Key is one key of a signer. Several of a form may be in force at once, for rotation.
type Key struct {
	ID        string // the kid of a URI-signing token; for edge-auth a name for logs
	Form      Form
	Algorithm string            // URI signing: the one algorithm that this key may be used with
	Secret    []byte            // HMAC keys
	Public    crypto.PublicKey  // asymmetric keys: to verify
	Private   crypto.PrivateKey // and, if present, to issue
}

// Reason says why a token was refused. It names no secret and may be shown to clients.
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

// Error is a refusal.
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

func reject(r Reason, format string, args ...any) error {
	return &Error{Reason: r, Detail: fmt.Errorf(format, args...)}
}

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

// Config is what a verifier and an issuer are made of.
type Config struct {
	// Base is the scheme and authority that signers put before the path, such as https://assets.example. It
	// is fixed here, as a Host header is the client's to choose.
	Base   string
	Keys   []Key
	Leeway time.Duration // by how much clocks may differ
}

// check names the first part of a configuration that cannot be used.
func (c Config) check() error {
	if c.Leeway < 0 || c.Leeway > time.Minute {
		return fmt.Errorf("leeway: %v is not from 0 to 1m", c.Leeway)
	}
	scheme, host, ok := strings.Cut(c.Base, "://")
	if !ok || scheme != "https" && scheme != "http" || host == "" || strings.ContainsAny(host, "/?#") {
		return fmt.Errorf("base: %q is not a scheme and a host", c.Base)
	}
	if len(c.Keys) == 0 {
		return errors.New("key: there is none")
	}
	seen := map[string]bool{}
	for _, k := range c.Keys {
		if k.ID == "" || seen[k.ID] {
			return fmt.Errorf("key.id: %q is empty or used twice", k.ID)
		}
		seen[k.ID] = true
		if err := k.check(); err != nil {
			return fmt.Errorf("key %s: %w", k.ID, err)
		}
	}
	return nil
}

const minSecretBytes = 16 // bytes

func (k Key) check() error {
	if _, ok := signingMethods[k.Algorithm]; k.Form == URISigning && !ok {
		return fmt.Errorf("algorithm: %q is not one of those allowed", k.Algorithm)
	}
	switch {
	case k.Form == EdgeAuth || k.Form == URISigning && strings.HasPrefix(k.Algorithm, "HS"):
		if len(k.Secret) < minSecretBytes {
			return fmt.Errorf("secret: under %d bytes", minSecretBytes)
		}
	case k.Form != URISigning:
		return fmt.Errorf("form: unknown form %q", k.Form)
	case k.Public == nil:
		return errors.New("public: missing")
	}
	return nil
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

// requestToken is the token of a request.
type requestToken struct {
	form  Form
	token string
}

// extractToken takes the one token out of a target and a Cookie header. Guards against a second token: a server
// behind us might look at the other one.
func extractToken(target, cookie string) (bare string, f requestToken, err error) {
	path, query, has := strings.Cut(target, "?")
	var tokens []requestToken
	var rest []string
	if has {
		for _, p := range strings.Split(query, "&") {
			name, value, _ := strings.Cut(p, "=")
			if form, ok := formOf(name); ok {
				tokens = append(tokens, requestToken{form, value})
			} else {
				rest = append(rest, p)
			}
		}
	}
	for _, p := range strings.Split(cookie, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
		if form, ok := formOf(name); ok {
			tokens = append(tokens, requestToken{form, value})
		}
	}
	switch {
	case len(tokens) == 0:
		return "", f, &Error{Reason: MissingToken}
	case len(tokens) > 1:
		return "", f, &Error{Reason: DuplicateToken}
	case tokens[0].token == "":
		return "", f, reject(MalformedToken, "it is empty")
	}
	if len(rest) > 0 {
		path += "?" + strings.Join(rest, "&")
	}
	return path, tokens[0], nil
}

func formOf(name string) (Form, bool) {
	switch name {
	case URISigningPackage:
		return URISigning, true
	case EdgeAuthToken:
		return EdgeAuth, true
	}
	return "", false
}

const maxTargetBytes = 4096

// CheckTarget rejects a target that could be read in more than one way: dot segments, empty segments,
// backslashes, raw bytes outside printable ASCII, and every escape that is malformed, not needed, or hides a
// character with a meaning in paths.
func CheckTarget(target string) error {
	if len(target) > maxTargetBytes {
		return reject(MalformedURI, "%d bytes", len(target))
	}
	if !strings.HasPrefix(target, "/") {
		return reject(MalformedURI, "it is no path")
	}
	path, _, _ := strings.Cut(target, "?")
	for i := 0; i < len(target); i++ {
		switch c := target[i]; {
		case c <= ' ' || c >= 0x7f || strings.IndexByte("\"<>\\^`{|}#", c) >= 0:
			return reject(MalformedURI, "the byte %#x", c)
		case c == ';' && i < len(path):
			return reject(MalformedURI, "a path parameter")
		case c == '%':
			if i+2 >= len(target) || !upperHex(target[i+1]) || !upperHex(target[i+2]) {
				return reject(MalformedURI, "a malformed escape")
			}
			if d := hexValue(target[i+1])<<4 | hexValue(target[i+2]); d <= ' ' || d == 0x7f || unreserved(d) ||
				strings.IndexByte("/\\%", d) >= 0 {
				return reject(MalformedURI, "the escape %s", target[i:i+3])
			}
			i += 2
		}
	}
	segments := strings.Split(path[1:], "/")
	for i, s := range segments {
		if s == "." || s == ".." || s == "" && i < len(segments)-1 {
			return reject(MalformedURI, "the segment %q", s)
		}
	}
	return nil
}

func upperHex(c byte) bool { return c >= '0' && c <= '9' || c >= 'A' && c <= 'F' }

func hexValue(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c - 'A' + 10
}

func unreserved(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' ||
		strings.IndexByte("-._~", c) >= 0
}

// Issuer signs URLs with one key.
type Issuer struct {
	cfg Config
	key Key
}

// NewIssuer returns an issuer that signs with the key of that id.
func NewIssuer(cfg Config, keyID string) (*Issuer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	for _, k := range cfg.Keys {
		if k.ID == keyID {
			if k.Secret == nil && k.Private == nil {
				return nil, fmt.Errorf("key %s can only verify", keyID)
			}
			return &Issuer{cfg: cfg, key: k}, nil
		}
	}
	return nil, fmt.Errorf("there is no key %q", keyID)
}

// Order says what to sign.
type Order struct {
	Target    string // path and query; the token is added to it
	Pattern   string // URI signing: a regular expression for whole URIs; edge-auth: an access list such as /a/*. Empty: the target alone
	Subject   string
	NotBefore time.Time // zero: none
	Expiry    time.Time
	Renew     time.Duration // URI signing: answers carry a fresh token that is good for so long
}

// Sign returns the target of the order with its token.
func (i *Issuer) Sign(o Order) (string, error) {
	if err := CheckTarget(o.Target); err != nil {
		return "", err
	}
	name, sign := EdgeAuthToken, i.signEdgeAuth
	if i.key.Form == URISigning {
		name, sign = URISigningPackage, i.signJWT
	}
	token, err := sign(o)
	if err != nil {
		return "", err
	}
	mark := "?"
	if strings.Contains(o.Target, "?") {
		mark = "&"
	}
	return o.Target + mark + name + "=" + token, nil
}
