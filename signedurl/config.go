package signedurl

import (
	"crypto"
	"errors"
	"fmt"
	"strings"
	"time"
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

// Config is what a verifier and an issuer are made of. Base and Keys are needed.
type Config struct {
	// Base is the scheme and authority that signers put before the path, such as https://assets.example. It
	// is fixed here, as a Host header is the client's to choose.
	Base   string
	Keys   []Key
	Leeway time.Duration // by how much the signer's clock and ours may differ; from 0 to 1 minute
}

// check names the first part of a configuration that cannot be used.
func (c Config) check() error {
	if c.Leeway < 0 || c.Leeway > maxLeeway {
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

// minSecretBytes is the least length of an HMAC secret.
const minSecretBytes = 16

// maxLeeway bounds how much longer than signed a token is good.
const maxLeeway = time.Minute

// check names the first part of a key that cannot be used.
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
