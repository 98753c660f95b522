package signedurl

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"
)

// edgeAuthFields are the fields that an edge-auth token may have, all of them signed.
var edgeAuthFields = map[string]bool{"st": true, "exp": true, "acl": true, "id": true, "data": true}

// verifyEdgeAuth verifies an edge-auth token for a path.
func (v *Verifier) verifyEdgeAuth(path, token string, now time.Time) (Grant, error) {
	// The code comes last: a field behind it would not be signed.
	body, code, ok := strings.Cut(token, "~hmac=")
	if !ok {
		return Grant{}, reject(MalformedToken, "hmac is missing")
	}
	fields, err := parseEdgeAuthFields(body)
	if err != nil {
		return Grant{}, err
	}
	sum, err := hex.DecodeString(code)
	if err != nil || len(sum) != sha256.Size {
		return Grant{}, reject(MalformedToken, "hmac is no SHA-256")
	}
	g := Grant{Form: EdgeAuth, Subject: fields["id"]}
	if g.KeyID, err = v.edgeAuthKeyID(body, sum); err != nil {
		return Grant{}, err
	}
	if g.Expiry, err = v.checkEdgeAuthTimes(fields, now); err != nil {
		return Grant{}, err
	}
	for acl := range strings.SplitSeq(fields["acl"], "!") {
		if acl != "" && matchesAccessList(acl, path) {
			return g, nil
		}
	}
	return Grant{}, reject(URIMismatch, "no entry of acl matches")
}

// parseEdgeAuthFields reads the signed part of a token.
func parseEdgeAuthFields(body string) (map[string]string, error) {
	fields := map[string]string{}
	for f := range strings.SplitSeq(body, "~") {
		name, value, ok := strings.Cut(f, "=")
		_, twice := fields[name]
		if name == "ip" || name == "url" { // a restriction that is not checked must not be ignored
			return nil, reject(UnsupportedClaim, "the field %s", name)
		}
		if !ok || twice || !edgeAuthFields[name] {
			return nil, reject(MalformedToken, "the field %.20q", name)
		}
		fields[name] = value
	}
	return fields, nil
}

// edgeAuthKeyID returns the id of the key that signed a token. A token has no kid: every key in force is tried, the last that fits counts.
func (v *Verifier) edgeAuthKeyID(body string, sum []byte) (id string, err error) {
	keys := 0
	for _, k := range v.cfg.Keys {
		if k.Form != EdgeAuth {
			continue
		}
		keys++
		if hmac.Equal(edgeAuthMAC(k.Secret, body), sum) {
			id = k.ID
		}
	}
	switch {
	case keys == 0:
		return "", &Error{Reason: UnknownKey}
	case id == "":
		return "", &Error{Reason: BadSignature}
	}
	return id, nil
}

// checkEdgeAuthTimes checks from when and until when a token is good, and returns the latter.
func (v *Verifier) checkEdgeAuthTimes(fields map[string]string, now time.Time) (expiry time.Time, err error) {
	exp, err := strconv.ParseInt(fields["exp"], 10, 64)
	if err != nil {
		return expiry, reject(MalformedToken, "exp: %w", err)
	}
	expiry = time.Unix(exp, 0)
	if s, ok := fields["st"]; ok {
		st, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return expiry, reject(MalformedToken, "st: %w", err)
		}
		if now.Before(time.Unix(st, 0).Add(-v.cfg.Leeway)) {
			return expiry, &Error{Reason: NotYetValid}
		}
	}
	if !now.Before(expiry.Add(v.cfg.Leeway)) {
		return expiry, &Error{Reason: Expired}
	}
	return expiry, nil
}

// edgeAuthMAC is the HMAC-SHA-256 of a token's signed part.
func edgeAuthMAC(secret []byte, body string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return h.Sum(nil)
}

// matchesAccessList reports whether a path matches an entry of an access list: * stands for any characters, ? for one.
// It takes time in proportion to the two lengths multiplied at most.
func matchesAccessList(pattern, path string) bool {
	p, s, star, mark := 0, 0, -1, 0
	for s < len(path) {
		switch {
		case p < len(pattern) && pattern[p] == '*':
			star, mark = p, s
			p++
		case p < len(pattern) && (pattern[p] == '?' || pattern[p] == path[s]):
			p, s = p+1, s+1
		case star >= 0:
			mark++
			p, s = star+1, mark
		default:
			return false
		}
	}
	return strings.Trim(pattern[p:], "*") == ""
}

// signEdgeAuth issues an edge-auth token.
func (i *Issuer) signEdgeAuth(o Order) (string, error) {
	path, _, _ := strings.Cut(o.Target, "?")
	acl := o.Pattern
	if acl == "" {
		acl = path
	}
	if strings.ContainsAny(acl+o.Subject, "~&;# ") {
		return "", errors.New("a character that cannot stand in the token")
	}
	body := "exp=" + strconv.FormatInt(o.Expiry.Unix(), 10) + "~acl=" + acl
	if !o.NotBefore.IsZero() {
		body = "st=" + strconv.FormatInt(o.NotBefore.Unix(), 10) + "~" + body
	}
	if o.Subject != "" {
		body += "~id=" + o.Subject
	}
	return body + "~hmac=" + hex.EncodeToString(edgeAuthMAC(i.key.Secret, body)), nil
}
