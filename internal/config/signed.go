package config

import (
	"crypto"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"larchusher/internal/config/operatorpb"
	"larchusher/signedurl"
)

// defaultLeeway is the tolerated difference between this clock and those of token issuers.
const defaultLeeway = 2 * time.Second

// SignedFront is the configuration of the front for signed URLs: the part signed_front of the operator's file.
type SignedFront struct {
	Listen    string           // address, IP:port
	RenewWith string           // id of the key that signs renewed tokens; empty: tokens are not renewed
	URLs      signedurl.Config // base, keys and leeway by which signed URLs are verified
}

// readSignedFront checks and converts the part signed_front of the operator's file, and loads its keys from files and from
// environment variables, which env looks up.
func readSignedFront(pb *operatorpb.SignedFront, env func(string) string) (*SignedFront, error) {
	s := &SignedFront{Listen: pb.GetListen(), RenewWith: pb.GetRenewWith(), URLs: signedurl.Config{Base: pb.GetBase()}}
	var err error
	if s.URLs.Leeway, err = parseDuration("signed_front.leeway", pb.GetLeeway(), defaultLeeway, 0, time.Hour); err != nil {
		return nil, err
	}
	for i, k := range pb.GetKey() {
		key, name, err := loadKey(k, env)
		if err != nil {
			return nil, newKeyError(fmt.Sprintf("signed_front.key[%d].%s", i, name), err)
		}
		s.URLs.Keys = append(s.URLs.Keys, key)
	}
	if _, err := signedurl.NewVerifier(s.URLs); err != nil {
		return nil, newKeyError("signed_front", err)
	}
	if s.RenewWith != "" {
		if _, err := signedurl.NewIssuer(s.URLs, s.RenewWith); err != nil {
			return nil, newKeyError("signed_front.renew_with", err)
		}
	}
	return s, nil
}

// loadKey loads a key from the environment variable or the files that k names; env looks up variables. With an error, field
// names the field of k that is at fault. The error contains no secret.
func loadKey(k *operatorpb.Key, env func(string) string) (key signedurl.Key, field string, err error) {
	key = signedurl.Key{ID: k.GetId(), Form: signedurl.Form(k.GetForm()), Algorithm: k.GetAlgorithm()}
	if key.Secret, field, err = loadSecret(k, env); err != nil {
		return key, field, err
	}
	if f := k.GetPublicFile(); f != "" {
		if key.Public, err = readPEM(f, k.GetAlgorithm(), false); err != nil {
			return key, "public_file", err
		}
	}
	if f := k.GetPrivateFile(); f != "" {
		if key.Private, err = readPEM(f, k.GetAlgorithm(), true); err != nil {
			return key, "private_file", err
		}
	}
	return key, "", nil
}

// loadSecret decodes the secret of a key, in hex, from an environment variable or a file; nil: the key has no secret. With an
// error, field names the field that is at fault. The error contains no secret.
func loadSecret(k *operatorpb.Key, env func(string) string) (secret []byte, field string, err error) {
	var text string
	switch {
	case k.GetSecretEnv() != "":
		field, text = "secret_env", env(k.GetSecretEnv())
		if text == "" {
			return nil, field, fmt.Errorf("environment variable %s is not set", k.GetSecretEnv())
		}
	case k.GetSecretFile() != "":
		field = "secret_file"
		b, err := os.ReadFile(k.GetSecretFile())
		if err != nil {
			return nil, field, err
		}
		text = strings.TrimSpace(string(b))
	}
	if text == "" {
		return nil, "", nil
	}
	if secret, err = hex.DecodeString(text); err != nil {
		return nil, field, errors.New("secret is not valid hex") // err is not returned: its text would show a part of the secret
	}
	return secret, "", nil
}

// readPEM reads a private or public key, of the type that a signature algorithm uses, from a PEM file. The algorithm is one of
// JWT, such as ES256; one without a key pair is an error.
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
		err = fmt.Errorf("algorithm %q has no key pair, want one of the families ES, RS, PS or EdDSA", algorithm)
	}
	return key, err
}
