package config

import (
	"bytes"
	"crypto"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/pelletier/go-toml/v2"

	"larchusher/signedurl"
)

const defaultLeeway = 2 * time.Second

// Signed is the configuration of the front for signed URLs, and of what balancers ask of this program.
type Signed struct {
	Listen      string
	RenewWith   string // id of the key that signs fresh tokens; empty: none are given out
	URLs        signedurl.Config
	AgentListen string // HAProxy agent-check; empty: off
	HTTPListen  string // HTTP health check; empty: off
}

// signedFile is the form of the file.
type signedFile struct {
	Listen    string `toml:"listen"`
	Base      string `toml:"base"`
	Leeway    string `toml:"leeway"`
	RenewWith string `toml:"renew_with"`
	Health    struct {
		Agent string `toml:"agent_listen"`
		HTTP  string `toml:"http_listen"`
	} `toml:"health"`
	Keys []signedKey `toml:"key"`
}

// signedKey is one key. Keys are never in the file: it names where they are.
type signedKey struct {
	ID          string `toml:"id"`
	Form        string `toml:"form"`
	Algorithm   string `toml:"algorithm"`
	SecretEnv   string `toml:"secret_env"`  // environment variable with the secret in hex
	SecretFile  string `toml:"secret_file"` // file with the secret in hex
	PublicFile  string `toml:"public_file"` // PEM
	PrivateFile string `toml:"private_file"`
}

// LoadSigned reads the file of the signed front.
func LoadSigned(path string, env func(string) string) (*Signed, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("signed front: %w", err)
	}
	s, err := parseSigned(data, env)
	if err != nil {
		return nil, fmt.Errorf("signed front: %s: %w", path, err)
	}
	return s, nil
}

func parseSigned(data []byte, env func(string) string) (*Signed, error) {
	var f signedFile
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			return nil, fmt.Errorf("%s: unknown key", strings.Join(strict.Errors[0].Key(), "."))
		}
		return nil, err
	}
	s := &Signed{Listen: f.Listen, RenewWith: f.RenewWith, AgentListen: f.Health.Agent, HTTPListen: f.Health.HTTP,
		URLs: signedurl.Config{Base: f.Base, Leeway: defaultLeeway}}
	for _, a := range [...]struct {
		key, value string
		needed     bool
	}{{"listen", f.Listen, true}, {"health.agent_listen", f.Health.Agent, false},
		{"health.http_listen", f.Health.HTTP, false}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil && (a.needed || a.value != "") {
			return nil, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	if f.Leeway != "" {
		var err error
		if s.URLs.Leeway, err = time.ParseDuration(f.Leeway); err != nil {
			return nil, fmt.Errorf("leeway: %w", err)
		}
	}
	for i, k := range f.Keys {
		key, err := k.load(env)
		if err != nil {
			return nil, fmt.Errorf("key[%d].%w", i, err)
		}
		s.URLs.Keys = append(s.URLs.Keys, key)
	}
	if _, err := signedurl.NewVerifier(s.URLs); err != nil {
		return nil, err
	}
	if s.RenewWith != "" {
		if _, err := signedurl.NewIssuer(s.URLs, s.RenewWith); err != nil {
			return nil, fmt.Errorf("renew_with: %w", err)
		}
	}
	return s, nil
}

// load reads a key from where the file says. Its errors begin with the faulty key and show no secret.
func (k signedKey) load(env func(string) string) (key signedurl.Key, err error) {
	key = signedurl.Key{ID: k.ID, Form: signedurl.Form(k.Form), Algorithm: k.Algorithm}
	name, text := "secret_env", ""
	if k.SecretEnv != "" {
		if text = env(k.SecretEnv); text == "" {
			return key, fmt.Errorf("secret_env: %s is not set", k.SecretEnv)
		}
	} else if k.SecretFile != "" {
		name = "secret_file"
		b, err := os.ReadFile(k.SecretFile)
		if err != nil {
			return key, fmt.Errorf("secret_file: %w", err)
		}
		text = strings.TrimSpace(string(b))
	}
	if text != "" {
		if key.Secret, err = hex.DecodeString(text); err != nil {
			return key, fmt.Errorf("%s: not hex", name)
		}
	}
	if k.PublicFile != "" {
		if key.Public, err = readPEM(k.PublicFile, k.Algorithm, false); err != nil {
			return key, fmt.Errorf("public_file: %w", err)
		}
	}
	if k.PrivateFile != "" {
		if key.Private, err = readPEM(k.PrivateFile, k.Algorithm, true); err != nil {
			return key, fmt.Errorf("private_file: %w", err)
		}
	}
	return key, nil
}

// readPEM reads an asymmetric key of the kind that an algorithm uses.
func readPEM(path, algorithm string, private bool) (key crypto.PublicKey, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	kind := algorithm[:min(2, len(algorithm))]
	switch {
	case kind == "ES" && private:
		key, err = jwt.ParseECPrivateKeyFromPEM(b)
	case kind == "ES":
		key, err = jwt.ParseECPublicKeyFromPEM(b)
	case (kind == "RS" || kind == "PS") && private:
		key, err = jwt.ParseRSAPrivateKeyFromPEM(b)
	case kind == "RS" || kind == "PS":
		key, err = jwt.ParseRSAPublicKeyFromPEM(b)
	case kind == "Ed" && private:
		key, err = jwt.ParseEdPrivateKeyFromPEM(b)
	case kind == "Ed":
		key, err = jwt.ParseEdPublicKeyFromPEM(b)
	default:
		err = fmt.Errorf("algorithm %q has no key pair", algorithm)
	}
	return key, err
}
