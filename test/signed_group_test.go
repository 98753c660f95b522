package test

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchusher/signedurl"
)

// signedByOthers returns a target with an edge-auth token as other signers, and former versions of this one, issue it: it covers the path
// alone.
func signedByOthers(target string) string {
	body := fmt.Sprintf("exp=%d~acl=/films/%s/*", time.Now().Add(time.Hour).Unix(), object)
	mac := hmac.New(sha256.New, signedKeys.Keys[2].Secret)
	mac.Write([]byte(body))
	separator := "?"
	if strings.Contains(target, "?") {
		separator = "&"
	}
	return target + separator + signedurl.EdgeAuthToken + "=" + body + "~hmac=" + hex.EncodeToString(mac.Sum(nil))
}

// Guards against a copy from before a purge that is served since the URL names another group than the purged one: a query that was altered
// after it was signed must be rejected, and where the token does not cover the query no copy from before any group's purge will do.
func TestAlteredGroupDoesNotEvadePurge(t *testing.T) {
	r, addr := signedRig(t, "")
	sign := func(key string) func(string) string {
		signed := signer(t, signedKeys, key)
		return func(target string) string {
			return strings.TrimPrefix(signed(signedurl.Order{Target: target, Expiry: time.Now().Add(time.Hour)}), base)
		}
	}
	r.journal.Publish(2, fmt.Sprintf(`"expire":{"set":17,"stamp":%d}`, time.Now().UnixMilli()))
	eventually(t, "the gateway knows of the purge", func() bool { return r.counter("purges") == 1 })
	part := 0
	for _, c := range []struct {
		name         string
		sign         func(string) string
		query, asked string // as signed, and as sent
		status       int
	}{
		{"edge-auth", sign("edge"), "?shard=17", "?shard=17", http.StatusOK},
		{"edge-auth, altered", sign("edge"), "?shard=17", "?shard=18", http.StatusForbidden},
		{"edge-auth, taken out", sign("edge"), "?shard=17&", "?", http.StatusForbidden},
		{"edge-auth without a query, added", sign("edge"), "?", "?shard=18&", http.StatusForbidden},
		{"URI signing", sign("new"), "?shard=17", "?shard=17", http.StatusOK},
		{"URI signing, altered", sign("new"), "?shard=17", "?shard=18", http.StatusForbidden},
		{"edge-auth of others", signedByOthers, "?shard=17", "?shard=17", http.StatusOK},
		{"edge-auth of others, altered", signedByOthers, "?shard=17", "?shard=18", http.StatusOK},
		{"edge-auth of others, taken out", signedByOthers, "?shard=17&", "?", http.StatusOK},
	} {
		part++
		target := strings.Replace(c.sign(fmt.Sprintf("/films/%s/%d%s", object, part, strings.TrimRight(c.query, "?&"))), c.query, c.asked, 1)
		status, body, _ := newHTTPConn(t, addr).get("GET", target)
		if status != c.status {
			t.Errorf("%s: status %d, body %.60q; want status %d", c.name, status, body, c.status)
		}
		for _, a := range r.storeRequests(object) {
			if a.Fields["piece"] == fmt.Sprint(part) && (a.Fields["accept"] == "" || c.status != http.StatusOK) {
				t.Errorf("%s: a store was asked with the fields %v, want a limit of age, and none for a request that is rejected", c.name, a.Fields)
			}
		}
	}
}
