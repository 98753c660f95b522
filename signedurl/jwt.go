package signedurl

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"maps"
	"regexp"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

// signingMethods are the algorithms that a key can be pinned to. The algorithm "none" (no signature) is left out on purpose.
var signingMethods = map[string]jwt.SigningMethod{
	"HS256": jwt.SigningMethodHS256, "HS384": jwt.SigningMethodHS384, "HS512": jwt.SigningMethodHS512,
	"ES256": jwt.SigningMethodES256, "ES384": jwt.SigningMethodES384, "RS256": jwt.SigningMethodRS256,
	"PS256": jwt.SigningMethodPS256, "EdDSA": jwt.SigningMethodEdDSA,
}

// transportCookie is the value of the claim cdnistt that requests renewed tokens in a cookie.
const transportCookie = 1

// supportedClaims are the claims that the claim cdnicrit (critical claims) may name.
var supportedClaims = map[string]bool{"cdniv": true, "cdniuc": true, "cdniets": true, "cdnistt": true,
	"cdnicrit": true}

var (
	errUnknownKey     = errors.New("no key has the token's kid")
	errWrongAlgorithm = errors.New("the token's algorithm is not that of the key")
)

// verifyJWT verifies a URI-signing token for a URI with scheme and host.
func (v *Verifier) verifyJWT(uri, token string, now time.Time) (Grant, error) {
	var keyID string
	claims := jwt.MapClaims{}
	parser := jwt.NewParser(jwt.WithLeeway(v.cfg.Leeway), jwt.WithTimeFunc(func() time.Time { return now }),
		jwt.WithExpirationRequired(), jwt.WithStrictDecoding())
	_, err := parser.ParseWithClaims(token, claims, func(t *jwt.Token) (any, error) {
		keyID, _ = t.Header["kid"].(string) // without a kid it is empty, which is no key's id
		return v.jwtKey(keyID, t.Method.Alg())
	})
	if err != nil {
		return Grant{}, &Error{Reason: jwtReason(err), Detail: err}
	}
	if err := checkClaims(claims, uri); err != nil {
		return Grant{}, err
	}
	return newJWTGrant(keyID, claims), nil
}

// jwtKey returns the key to verify a token with. A token with an algorithm other than that of the key is rejected: otherwise
// an attacker could choose the algorithm "none", or HMAC with a public key as the secret.
func (v *Verifier) jwtKey(id, algorithm string) (any, error) {
	for _, k := range v.cfg.Keys {
		if k.Form != URISigning || k.ID != id {
			continue
		}
		if algorithm != k.Algorithm {
			return nil, errWrongAlgorithm
		}
		if k.Secret != nil {
			return k.Secret, nil
		}
		return k.Public, nil
	}
	return nil, errUnknownKey
}

// jwtReasons gives the reason for each error of the JWT parser. An error may match several entries, of which the first counts.
var jwtReasons = []struct {
	err    error
	reason Reason
}{
	{errUnknownKey, UnknownKey},
	{errWrongAlgorithm, BadAlgorithm},
	{jwt.ErrTokenSignatureInvalid, BadSignature},
	{jwt.ErrTokenUnverifiable, BadAlgorithm},
	{jwt.ErrTokenMalformed, MalformedToken},
	{jwt.ErrTokenExpired, Expired},
	{jwt.ErrTokenNotValidYet, NotYetValid},
	{jwt.ErrTokenUsedBeforeIssued, NotYetValid},
}

func jwtReason(err error) Reason {
	for _, r := range jwtReasons {
		if errors.Is(err, r.err) {
			return r.reason
		}
	}
	return MalformedToken
}

// newJWTGrant returns the grant for verified claims.
func newJWTGrant(keyID string, claims jwt.MapClaims) Grant {
	container, _ := claims["cdniuc"].(string)
	g := Grant{Form: URISigning, KeyID: keyID, CoversQuery: strings.HasPrefix(container, "hash:")}
	g.Subject, _ = claims["sub"].(string)
	if at, err := claims.GetExpirationTime(); err == nil && at != nil {
		g.Expiry = at.Time
	}
	if span, ok := claims["cdniets"].(float64); ok && span > 0 {
		transport, _ := claims["cdnistt"].(float64)
		g.Renewal = Renewal{Span: time.Duration(span * float64(time.Second)), Cookie: transport == transportCookie, claims: claims}
	}
	return g
}

// checkClaims checks the claims that RFC 9246 adds to a JWT, for a URI.
func checkClaims(claims jwt.MapClaims, uri string) error {
	if v, ok := claims["cdniv"]; ok && v != 1.0 {
		return reject(UnsupportedClaim, "cdniv is not 1, which is the only supported version")
	}
	if crit, ok := claims["cdnicrit"].(string); ok {
		for name := range strings.SplitSeq(crit, ",") {
			if !supportedClaims[name] {
				return reject(UnsupportedClaim, "cdnicrit names a claim that is not supported")
			}
		}
	} else if _, present := claims["cdnicrit"]; present {
		return reject(MalformedToken, "cdnicrit is not a string")
	}
	if _, ok := claims["cdniip"]; ok { // a restriction to a client address must not be ignored
		return reject(UnsupportedClaim, "cdniip")
	}
	if _, ok := claims["cdnistd"]; ok {
		return reject(UnsupportedClaim, "cdnistd")
	}
	container, ok := claims["cdniuc"].(string)
	if !ok {
		return reject(MalformedToken, "cdniuc is missing")
	}
	return checkContainer(container, uri)
}

// checkContainer checks that a URI matches the URI container of a token (claim cdniuc), which is the hash of a URI or a
// regular expression that the whole URI must match.
func checkContainer(container, uri string) error {
	kind, value, _ := strings.Cut(container, ":")
	switch kind {
	case "hash":
		if subtle.ConstantTimeCompare([]byte(value), []byte(uriHash(uri))) != 1 {
			return reject(URIMismatch, "the hash in cdniuc is of another URI")
		}
	case "regex":
		re, err := regexp.CompilePOSIX("^(" + value + ")$")
		if err != nil {
			return reject(MalformedToken, "cdniuc: %w", err)
		}
		if !re.MatchString(uri) {
			return reject(URIMismatch, "the URI does not match the regular expression in cdniuc")
		}
	default:
		return reject(UnsupportedClaim, "cdniuc is neither a hash nor a regex container")
	}
	return nil
}

// uriHash returns the value of a hash container for a URI: its SHA-256 in the URL segment format of RFC 6920.
func uriHash(uri string) string {
	sum := sha256.Sum256([]byte(uri))
	return "sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:])
}

// signJWT returns a URI-signing token for an order.
func (i *Issuer) signJWT(o Order) (string, error) {
	claims := jwt.MapClaims{"cdniv": 1, "exp": o.Expiry.Unix(), "cdniuc": "hash:" + uriHash(i.cfg.Base+o.Target)}
	if o.Pattern != "" {
		if _, err := regexp.CompilePOSIX(o.Pattern); err != nil {
			return "", err
		}
		claims["cdniuc"] = "regex:" + o.Pattern
	}
	if o.Subject != "" {
		claims["sub"] = o.Subject
	}
	if !o.NotBefore.IsZero() {
		claims["nbf"] = o.NotBefore.Unix()
	}
	if o.Renew > 0 {
		claims["cdniets"], claims["cdnistt"] = int64(o.Renew/time.Second), transportCookie
	}
	return i.signClaims(claims)
}

// signClaims returns a JWT with the given claims, signed with the issuer's key.
func (i *Issuer) signClaims(claims jwt.MapClaims) (string, error) {
	t := jwt.NewWithClaims(signingMethods[i.key.Algorithm], claims)
	t.Header["kid"] = i.key.ID
	if i.key.Secret != nil {
		return t.SignedString(i.key.Secret)
	}
	return t.SignedString(i.key.Private)
}

// Renew returns a renewed token for a grant: the same claims, with an expiry at now plus Renewal.Span. It returns "" if the
// grant's token is not to be renewed or the issuer's key is not for URI signing.
func (i *Issuer) Renew(g Grant, now time.Time) (string, error) {
	if g.Renewal.Span <= 0 || i.key.Form != URISigning {
		return "", nil
	}
	claims := maps.Clone(jwt.MapClaims(g.Renewal.claims))
	claims["exp"] = now.Add(g.Renewal.Span).Unix()
	return i.signClaims(claims)
}
