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

// defaultLeeway is how far clocks of token issuers may be off.
const defaultLeeway = 2 * time.Second

// Signed is the configuration of the front for signed URLs.
type SignedFront struct {
	Listen    string
	RenewWith string // id of the key that signs fresh tokens; empty: none are issued
	URLs      signedurl.Config
}

// readSigned reads the front for signed URLs, with its keys.
func readSigned(pb *operatorpb.SignedFront, env func(string) string) (*SignedFront, error) {
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

// loadKey reads a key from where the file says. With an error, field is what is wrong; neither shows a secret.
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

// loadSecret reads the secret of a key from a variable or a file; nil: the key has none.
func loadSecret(k *operatorpb.Key, env func(string) string) (secret []byte, field string, err error) {
	var text string
	switch {
	case k.GetSecretEnv() != "":
		field, text = "secret_env", env(k.GetSecretEnv())
		if text == "" {
			return nil, field, fmt.Errorf("%s is not set", k.GetSecretEnv())
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
		return nil, field, errors.New("not hex") // the error itself would show a part of the secret
	}
	return secret, "", nil
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
