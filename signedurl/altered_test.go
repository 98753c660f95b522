package signedurl

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// alterationSeed is the seed of the alterations in these tests.
const alterationSeed = 58

// altered returns s with one byte replaced by another printable one, that is not the same letter in the other case: hex digits may be in
// either case.
func altered(rng *rand.Rand, s string, at int) string {
	const first, last = '!', '~'
	for {
		c := byte(first + rng.IntN(last-first+1))
		if !strings.EqualFold(string(c), s[at:at+1]) {
			return s[:at] + string(c) + s[at+1:]
		}
	}
}

// Guards against a URL that is accepted although it was altered after it was signed, at any byte of its path, its query and its token, also
// with the token in a cookie. Valid URLs must be accepted as covering their query, and expired ones rejected: 10,000 of each form.
func TestAlteredURLsAreRejected(t *testing.T) {
	const total = 10000
	cfg := testConfig(t)
	v, err := NewVerifier(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"h", "new"} {
		issuer, err := NewIssuer(cfg, key)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(alterationSeed, 0))
		for i := range total {
			target := fmt.Sprintf("/films/%016x/%d?shard=%d&v=%d", rng.Uint64(), rng.IntN(100), rng.IntN(256), rng.IntN(10))
			expiry := now.Add(time.Hour)
			if i%4 == 1 {
				expiry = now.Add(-time.Hour)
			}
			uri, err := issuer.Sign(Order{Target: target, Expiry: expiry})
			if err != nil {
				t.Fatal(err)
			}
			checkURL(t, v, rng, i, target, uri)
		}
	}
}

// checkURL verifies URL number i as it is, expired, or altered in the URL or in a cookie.
func checkURL(t *testing.T, v *Verifier, rng *rand.Rand, i int, target, uri string) {
	t.Helper()
	token := strings.TrimPrefix(uri, target+"&")
	switch i % 4 {
	case 0:
		if g, err := v.Verify(uri, "", now); err != nil || !g.CoversQuery {
			t.Errorf("valid URL %s: grant %+v, error %v; want one that covers the query", uri, g, err)
		}
	case 1:
		if _, err := v.Verify(uri, "", now); ReasonOf(err) != Expired {
			t.Errorf("expired URL %s: error %v, want Expired", uri, err)
		}
	case 2:
		if bad := altered(rng, uri, i/4%len(uri)); isAccepted(v, bad, "") {
			t.Errorf("%s was altered to %s and is accepted", uri, bad)
		}
	default:
		if bad := altered(rng, token, i/4%len(token)); isAccepted(v, target, bad) {
			t.Errorf("cookie %s was altered to %s and is accepted", token, bad)
		}
		if bad := altered(rng, target, i/4%len(target)); isAccepted(v, bad, token) {
			t.Errorf("%s was altered to %s beside a cookie and is accepted", target, bad)
		}
	}
}

func isAccepted(v *Verifier, target, cookie string) bool {
	_, err := v.Verify(target, cookie, now)
	return err == nil
}

// edgeAuthByOthers returns a target with a token as other signers, and former versions of this one, issue it: it has no digest of the query.
func edgeAuthByOthers(secret []byte, target, fields string) string {
	body := fmt.Sprintf("exp=%d~acl=/films/*%s", now.Add(time.Hour).Unix(), fields)
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(body))
	return target + "&" + EdgeAuthToken + "=" + body + "~hmac=" + hex.EncodeToString(mac.Sum(nil))
}

// Guards against rejecting tokens that do not cover the query, which are valid, and against taking them, or tokens for patterns, for ones
// that do.
func TestTokensThatDoNotCoverTheQuery(t *testing.T) {
	cfg := testConfig(t)
	v, err := NewVerifier(cfg)
	if err != nil {
		t.Fatal(err)
	}
	const target = "/films/7f3a9c21e0b4d655/3?shard=17"
	secret := cfg.Keys[3].Secret
	for name, uri := range map[string]string{
		"without data":        edgeAuthByOthers(secret, target, ""),
		"other data":          edgeAuthByOthers(secret, target, "~data=player-7"),
		"data like a digest":  edgeAuthByOthers(secret, target, "~data=q-17"),
		"edge-auth pattern":   sign(t, cfg, "new", Order{Target: target, Pattern: "/films/*", Expiry: now.Add(time.Hour)}),
		"URI signing pattern": sign(t, cfg, "h", Order{Target: target, Pattern: "https://assets.example/films/.*", Expiry: now.Add(time.Hour)}),
	} {
		for _, group := range []string{"shard=17", "shard=18"} {
			if g, err := v.Verify(strings.Replace(uri, "shard=17", group, 1), "", now); err != nil || g.CoversQuery {
				t.Errorf("%s, %s: grant %+v, error %v; want one that does not cover the query", name, group, g, err)
			}
		}
	}
}
