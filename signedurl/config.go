package signedurl

import (
	"crypto"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Form is the form of a token.
type Form string

// Forms of tokens.
const (
	URISigning Form = "uri-signing" // a JWT as in RFC 9246
	EdgeAuth   Form = "edge-auth"   // st~exp~acl~hmac
)

// Key is a key that verifies or signs tokens of one form. Several keys of a form may be in use at once, for key rotation.
type Key struct {
	ID        string // unique; the kid of a URI-signing token, and a name for logs for edge-auth
	Form      Form
	Algorithm string            // for URI signing: the only algorithm that the key may be used with, such as HS256 or ES256
	Secret    []byte            // for edge-auth and the algorithms HS256, HS384 and HS512: the HMAC key, at least 16 bytes
	Public    crypto.PublicKey  // for other algorithms: the key to verify tokens
	Private   crypto.PrivateKey // for other algorithms: the key to sign tokens; nil: the key can only verify
}

// Config configures a [Verifier] or an [Issuer]. Base and Keys are required.
type Config struct {
	// Base is the scheme and authority of signed URIs, such as https://assets.example. It is configured and not taken from
	// the Host header, since clients can choose that.
	Base string
	Keys []Key // with unique ids
	// Leeway is how much the clock of the signer and the local clock may differ, 0 to 1 minute.
	Leeway time.Duration
}

// check returns an error that names the first invalid field of a configuration.
func (c Config) check() error {
	if c.Leeway < 0 || c.Leeway > maxLeeway {
		return fmt.Errorf("leeway: %v, want 0 to 1m", c.Leeway)
	}
	scheme, host, ok := strings.Cut(c.Base, "://")
	if !ok || scheme != "https" && scheme != "http" || host == "" || strings.ContainsAny(host, "/?#") {
		return fmt.Errorf("base: %q, want a scheme and a host such as https://assets.example", c.Base)
	}
	if len(c.Keys) == 0 {
		return errors.New("key: no key is configured, want at least one")
	}
	seen := map[string]bool{}
	for _, k := range c.Keys {
		if k.ID == "" || seen[k.ID] {
			return fmt.Errorf("key.id: %q is empty or a duplicate", k.ID)
		}
		seen[k.ID] = true
		if err := k.check(); err != nil {
			return fmt.Errorf("key %s: %w", k.ID, err)
		}
	}
	return nil
}

// minSecretBytes is the minimum length of an HMAC secret.
const minSecretBytes = 16

// maxLeeway is the maximum of Config.Leeway, which limits how long after its expiry a token is accepted.
const maxLeeway = time.Minute

// check returns an error that names the first invalid field of a key.
func (k Key) check() error {
	if _, ok := signingMethods[k.Algorithm]; k.Form == URISigning && !ok {
		return fmt.Errorf("algorithm: %q is not supported", k.Algorithm)
	}
	switch {
	case k.Form == EdgeAuth || k.Form == URISigning && strings.HasPrefix(k.Algorithm, "HS"):
		if len(k.Secret) < minSecretBytes {
			return fmt.Errorf("secret: shorter than %d bytes", minSecretBytes)
		}
	case k.Form != URISigning:
		return fmt.Errorf("form: %q, want uri-signing or edge-auth", k.Form)
	case k.Public == nil:
		return errors.New("public: a public key is required")
	}
	return nil
}
