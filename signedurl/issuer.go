package signedurl

import (
	"fmt"
	"strings"
	"time"
)

// Issuer signs URLs with one key. Create one with [NewIssuer]. It is safe for concurrent use.
type Issuer struct {
	cfg Config
	key Key
}

// NewIssuer returns an issuer that signs with the key that has the id keyID. It returns an error if the configuration is
// invalid, if there is no such key, or if the key has neither a secret nor a private key.
func NewIssuer(cfg Config, keyID string) (*Issuer, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	for _, k := range cfg.Keys {
		if k.ID == keyID {
			if k.Secret == nil && k.Private == nil {
				return nil, fmt.Errorf("key %s can only verify: it has neither a secret nor a private key", keyID)
			}
			return &Issuer{cfg: cfg, key: k}, nil
		}
	}
	return nil, fmt.Errorf("no key with the id %q is configured", keyID)
}

// Order describes a URL to be signed and its token.
type Order struct {
	Target string // path and query, to which the token is added
	// Pattern extends the token to other URIs. For URI signing it is a POSIX regular expression that the whole URI must match
	// (with Config.Base, without the token). For edge-auth it is an access list of paths, such as /a/*, and any query is
	// allowed. Empty: the token is for Target only.
	Pattern   string
	Subject   string    // recorded in the token, as sub or id; empty: none
	NotBefore time.Time // start of the token's validity, in whole seconds; zero: none
	Expiry    time.Time // end of the token's validity, in whole seconds
	// Renew is the lifetime, in whole seconds, of the renewed token that each answer carries. 0: tokens are not renewed. It
	// is ignored for edge-auth.
	Renew time.Duration
}

// Sign returns the target of an order with a token added to its query. It returns an [*Error] if [CheckTarget] rejects the
// target, and another error if the token cannot be created, such as for an invalid pattern.
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
	separator := "?"
	if strings.Contains(o.Target, "?") {
		separator = "&"
	}
	return o.Target + separator + name + "=" + token, nil
}
