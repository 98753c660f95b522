package signedurl

import (
	"fmt"
	"strings"
	"time"
)

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
