package signedurl

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
)

var now = time.Unix(1_764_576_000, 0)

const leeway = 3 * time.Second

func testConfig(t *testing.T) Config {
	pair, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return Config{Base: "https://assets.example", Leeway: leeway, Keys: []Key{
		{ID: "h", Form: URISigning, Algorithm: "HS256", Secret: []byte("0123456789abcdef")},
		{ID: "e", Form: URISigning, Algorithm: "ES256", Public: &pair.PublicKey, Private: pair},
		{ID: "old", Form: EdgeAuth, Secret: []byte("0000000000000000")},
		{ID: "new", Form: EdgeAuth, Secret: []byte("1111111111111111")},
	}}
}

func sign(t *testing.T, cfg Config, key string, o Order) string {
	t.Helper()
	i, err := NewIssuer(cfg, key)
	if err != nil {
		t.Fatal(err)
	}
	uri, err := i.Sign(o)
	if err != nil {
		t.Fatal(err)
	}
	return uri
}

func checkVerify(t *testing.T, cfg Config, target string, at time.Time, want Reason) {
	t.Helper()
	v, err := NewVerifier(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := v.Verify(target, "", at); ReasonOf(err) != want || (want == "") != (err == nil) {
		t.Errorf("%.80s: error %v, want the reason %q", target, err, want)
	}
}

// The clocks of the signer and the verifier may differ in either direction, so that the leeway applies to NotBefore and to
// Expiry.
func TestLeewayAppliesToBothEnds(t *testing.T) {
	cfg := testConfig(t)
	for _, key := range []string{"h", "e", "old", "new"} {
		uri := sign(t, cfg, key, Order{Target: "/a/b?x=1", NotBefore: now, Expiry: now.Add(time.Minute)})
		for at, want := range map[time.Duration]Reason{
			-leeway - time.Millisecond: NotYetValid, -leeway: "", 0: "", time.Minute: "",
			time.Minute + leeway - time.Millisecond: "", time.Minute + leeway: Expired, time.Hour: Expired,
		} {
			checkVerify(t, cfg, uri, now.Add(at), want)
		}
	}
}

// Each kind of faulty token, and each way to tamper with a valid one, is rejected with its reason.
func TestVerifyReasons(t *testing.T) {
	cfg := testConfig(t)
	o := Order{Target: "/a/b", Expiry: now.Add(time.Minute)}
	jws, edge := sign(t, cfg, "h", o), sign(t, cfg, "new", o)
	token := func(alg jwt.SigningMethod, key any, kid any, claims jwt.MapClaims) string {
		k := jwt.NewWithClaims(alg, claims)
		if k.Header["kid"] = kid; kid == nil {
			delete(k.Header, "kid")
		}
		s, err := k.SignedString(key)
		if err != nil {
			t.Fatal(err)
		}
		return "/a/b?URISigningPackage=" + s
	}
	claims := func(change ...any) jwt.MapClaims {
		c := jwt.MapClaims{"exp": now.Add(time.Minute).Unix(), "cdniuc": "hash:" + uriHash(cfg.Base+"/a/b")}
		for i := 0; i < len(change); i += 2 {
			if c[change[i].(string)] = change[i+1]; change[i+1] == nil {
				delete(c, change[i].(string))
			}
		}
		return c
	}
	signedHS256 := func(change ...any) string {
		return token(jwt.SigningMethodHS256, cfg.Keys[0].Secret, "h", claims(change...))
	}
	der, err := x509.MarshalPKIXPublicKey(cfg.Keys[1].Public)
	if err != nil {
		t.Fatal(err)
	}
	public := pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der})
	for uri, want := range map[string]Reason{
		jws: "", edge: "", signedHS256(): "", signedHS256("cdniv", 1): "", signedHS256("cdniuc", "regex:https://assets.example/a/.*"): "",
		token(jwt.SigningMethodNone, jwt.UnsafeAllowNoneSignatureType, "h", claims()):  BadAlgorithm,
		token(jwt.SigningMethodHS512, cfg.Keys[0].Secret, "h", claims()):               BadAlgorithm,
		token(jwt.SigningMethodHS256, public, "e", claims()):                           BadAlgorithm,
		token(jwt.SigningMethodHS256, cfg.Keys[0].Secret, "gone", claims()):            UnknownKey,
		token(jwt.SigningMethodHS256, cfg.Keys[0].Secret, nil, claims()):               UnknownKey,
		token(jwt.SigningMethodHS256, []byte("another secret of them"), "h", claims()): BadSignature,
		signedHS256("exp", nil): MalformedToken, signedHS256("cdniuc", nil): MalformedToken, signedHS256("cdniip", "x"): UnsupportedClaim,
		signedHS256("cdniv", 2): UnsupportedClaim, signedHS256("cdnicrit", "cdnix"): UnsupportedClaim, signedHS256("cdnicrit", 7): MalformedToken,
		signedHS256("cdniuc", "regex:https://assets.example/a"): URIMismatch, signedHS256("cdniuc", "regex:("): MalformedToken,
		signedHS256("cdniuc", "regex:https://x/y|https://assets.example/a/b"): "",
		signedHS256("cdniuc", "other:x"):                                      UnsupportedClaim,
		strings.Replace(jws, "/a/b", "/a/c", 1):                               URIMismatch, strings.Replace(jws, "?", "?x=1&", 1): URIMismatch,
		strings.Replace(edge, "/a/b?", "/a/c?", 1):       URIMismatch,
		strings.Replace(edge, "acl=/a/b", "acl=/a/*", 1): BadSignature, edge + "~acl=/*": MalformedToken,
		edge + "0": MalformedToken, "/a/b?hdnts=exp=9999999999~acl=/*": MalformedToken,
		"/a/b?hdnts=" + strings.TrimPrefix(edge, "/a/b?hdnts=exp="):        MalformedToken,
		"/a/b?hdnts=ip=1.2.3.4~" + strings.TrimPrefix(edge, "/a/b?hdnts="): UnsupportedClaim,
		"/a/b": MissingToken, "/a/b?hdnts=": MalformedToken, jws + "&" + edge[len("/a/b?"):]: DuplicateToken,
		edge + "&hdnts=x": DuplicateToken, "/a/b?URISigningPackage=a.b.c": MalformedToken,
		jws[:len(jws)-23]: BadSignature,
	} {
		checkVerify(t, cfg, uri, now, want)
	}
	v, _ := NewVerifier(cfg)
	if _, err := v.Verify(jws, "x=1; hdnts=y", now); ReasonOf(err) != DuplicateToken {
		t.Errorf("tokens in the query and a cookie: %v, want the reason duplicate_token", err)
	}
	if g, err := v.Verify("/a/b", "x=1; "+edge[len("/a/b?"):], now); err != nil || g.KeyID != "new" {
		t.Errorf("token in a cookie only: grant %+v, error %v, want a grant for key new", g, err)
	}
}

func TestCheckTargetRejectsAmbiguousTargets(t *testing.T) {
	for _, target := range []string{"", "a/b", "/a/../b", "/a/./b", "/..", "/a//b", "/a/%2e%2e/b", "/a/%2E%2E/b",
		"/a%2fb", "/a%2Fb", "/a%5Cb", "/a\\b", "/a%00b", "/a%0Ab", "/a%41b", "/a%25b", "/a%c3%a9", "/a%", "/a%4",
		"/a%G0", "/a b", "/a\x00b", "/é", "/a;x=1/b", "/a#b", "/a?x=%2e", "/a?x=\t", "http://h/a",
		"/" + strings.Repeat("a", maxTargetBytes)} {
		if err := CheckTarget(target); ReasonOf(err) != MalformedURI {
			t.Errorf("%q: error %v, want the reason malformed_uri", target, err)
		}
	}
	for _, target := range []string{"/", "/a/b", "/a/", "/a~b/c.d_e-f", "/a%C3%A9", "/a?x=1&y=/z", "/a%20b"[:2]} {
		if err := CheckTarget(target); err != nil {
			t.Errorf("%q: error %v, want none", target, err)
		}
	}
}

func TestConfigErrorNamesField(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"base":      func(c *Config) { c.Base = "assets.example" },
		"leeway":    func(c *Config) { c.Leeway = time.Hour },
		"key":       func(c *Config) { c.Keys = nil },
		"key.id":    func(c *Config) { c.Keys[1].ID = "h" },
		"secret":    func(c *Config) { c.Keys[0].Secret = []byte("short") },
		"public":    func(c *Config) { c.Keys[1].Public = nil },
		"algorithm": func(c *Config) { c.Keys[0].Algorithm = "none" },
		"form":      func(c *Config) { c.Keys[0].Form = "other" },
	} {
		cfg := testConfig(t)
		change(&cfg)
		if _, err := NewVerifier(cfg); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that names %s, got %v", want, err)
		}
	}
}

func TestMatchesAccessList(t *testing.T) {
	for pattern, paths := range map[string][2]string{"/a/*": {"/a/b/c", "/b"}, "/a/?": {"/a/b", "/a/bc"},
		"*": {"/x", ""}, "/a/*/c": {"/a/x/y/c", "/a/c"}, "/a": {"/a", "/ab"}} {
		if !matchesAccessList(pattern, paths[0]) || paths[1] != "" && matchesAccessList(pattern, paths[1]) {
			t.Errorf("entry %s: of the paths %q the first must match, and the second, unless empty, must not", pattern, paths)
		}
	}
}
