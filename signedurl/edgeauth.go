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

// edgeAuthFields are the names of the fields that the signed part of an edge-auth token may contain.
var edgeAuthFields = map[string]bool{"st": true, "exp": true, "acl": true, "id": true, "data": true}

// queryDigestPrefix begins the field data of a token that covers the query. Tokens with other data, as other signers may issue
// them, do not.
const queryDigestPrefix = "q-"

// queryDigestBytes is the length of the digest in the token, before it is encoded in hex.
const queryDigestBytes = 16

// queryDigest returns the field data of a token that covers a query. The query excludes the token and its question mark.
func queryDigest(query string) string {
	sum := sha256.Sum256([]byte(query))
	return queryDigestPrefix + hex.EncodeToString(sum[:queryDigestBytes])
}

// coversQuery reports whether the field data of a token holds a digest of a query. It returns an error if that is another query's.
func coversQuery(data, query string) (bool, error) {
	if len(data) != len(queryDigestPrefix)+hex.EncodedLen(queryDigestBytes) || !strings.HasPrefix(data, queryDigestPrefix) {
		return false, nil
	}
	if data != queryDigest(query) {
		return false, reject(URIMismatch, "the query is not the one that was signed")
	}
	return true, nil
}

// verifyEdgeAuth verifies an edge-auth token for a path and the query behind it.
func (v *Verifier) verifyEdgeAuth(path, query, token string, now time.Time) (Grant, error) {
	// The MAC must be last, since a field after it would not be signed.
	body, mac, ok := strings.Cut(token, "~hmac=")
	if !ok {
		return Grant{}, reject(MalformedToken, "field hmac is missing")
	}
	fields, err := parseEdgeAuthFields(body)
	if err != nil {
		return Grant{}, err
	}
	sum, err := hex.DecodeString(mac)
	if err != nil || len(sum) != sha256.Size {
		return Grant{}, reject(MalformedToken, "field hmac is not a SHA-256 sum in hex")
	}
	g := Grant{Form: EdgeAuth, Subject: fields["id"]}
	if g.KeyID, err = v.edgeAuthKeyID(body, sum); err != nil {
		return Grant{}, err
	}
	if g.Expiry, err = v.checkEdgeAuthTimes(fields, now); err != nil {
		return Grant{}, err
	}
	if g.CoversQuery, err = coversQuery(fields["data"], query); err != nil {
		return Grant{}, err
	}
	for acl := range strings.SplitSeq(fields["acl"], "!") {
		if acl != "" && matchesAccessList(acl, path) {
			return g, nil
		}
	}
	return Grant{}, reject(URIMismatch, "no entry of field acl matches the path")
}

// parseEdgeAuthFields parses the signed part of a token into its fields.
func parseEdgeAuthFields(body string) (map[string]string, error) {
	fields := map[string]string{}
	for f := range strings.SplitSeq(body, "~") {
		name, value, ok := strings.Cut(f, "=")
		_, duplicate := fields[name]
		if name == "ip" || name == "url" { // restrictions that are not implemented must not be ignored
			return nil, reject(UnsupportedClaim, "field %s is not supported", name)
		}
		if !ok || duplicate || !edgeAuthFields[name] {
			return nil, reject(MalformedToken, "field %.20q is unknown, duplicate or without a value", name)
		}
		fields[name] = value
	}
	return fields, nil
}

// edgeAuthKeyID returns the id of the key that signed a token. Edge-auth tokens have no key id, so all keys of the form are
// tried; if several match, the last one counts.
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

// checkEdgeAuthTimes checks that a token is valid at the time now, with the leeway on both ends, and returns its expiry.
func (v *Verifier) checkEdgeAuthTimes(fields map[string]string, now time.Time) (expiry time.Time, err error) {
	exp, err := strconv.ParseInt(fields["exp"], 10, 64)
	if err != nil {
		return expiry, reject(MalformedToken, "field exp: %w", err)
	}
	expiry = time.Unix(exp, 0)
	if s, ok := fields["st"]; ok {
		st, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return expiry, reject(MalformedToken, "field st: %w", err)
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

// edgeAuthMAC returns the HMAC-SHA-256 of the signed part of a token.
func edgeAuthMAC(secret []byte, body string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return h.Sum(nil)
}

// matchesAccessList reports whether a path matches an entry of an access list, in which * matches any characters and ? any
// one character. The time is at most proportional to the product of the two lengths.
func matchesAccessList(pattern, path string) bool {
	p, s, star, starPos := 0, 0, -1, 0
	for s < len(path) {
		switch {
		case p < len(pattern) && pattern[p] == '*':
			star, starPos = p, s
			p++
		case p < len(pattern) && (pattern[p] == '?' || pattern[p] == path[s]):
			p, s = p+1, s+1
		case star >= 0:
			starPos++
			p, s = star+1, starPos
		default:
			return false
		}
	}
	return strings.Trim(pattern[p:], "*") == ""
}

// signEdgeAuth returns an edge-auth token for an order. Without a pattern the token is for the path and the query of the target.
func (i *Issuer) signEdgeAuth(o Order) (string, error) {
	path, query, _ := strings.Cut(o.Target, "?")
	acl := o.Pattern
	if acl == "" {
		acl = path
	}
	if strings.ContainsAny(acl+o.Subject, "~&;# ") {
		return "", errors.New("path, pattern or subject contains ~, &, ;, # or a space, which an edge-auth token cannot contain")
	}
	body := "exp=" + strconv.FormatInt(o.Expiry.Unix(), 10) + "~acl=" + acl
	if !o.NotBefore.IsZero() {
		body = "st=" + strconv.FormatInt(o.NotBefore.Unix(), 10) + "~" + body
	}
	if o.Subject != "" {
		body += "~id=" + o.Subject
	}
	if o.Pattern == "" {
		body += "~data=" + queryDigest(query)
	}
	return body + "~hmac=" + hex.EncodeToString(edgeAuthMAC(i.key.Secret, body)), nil
}
