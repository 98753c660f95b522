package config

import (
	"bytes"
	"cmp"
	"crypto"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/golang-jwt/jwt/v5"
	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
	"google.golang.org/protobuf/encoding/prototext"

	"larchusher/internal/config/operatorpb"
	"larchusher/locality"
	"larchusher/overload"
	"larchusher/signedurl"
	"larchusher/warmstart"
)

const defaultLeeway = 2 * time.Second

// Operator is the operator's own file. The zero value is that of an empty one, with all of it off.
type Operator struct {
	Signed        *Signed // nil: off
	AgentListen   string  // HAProxy agent-check; empty: off
	HTTPListen    string  // HTTP health check; empty: off
	MetricsListen string  // counters for Prometheus; empty: off
	Overload      overload.Config
	State         *State           // nil: off
	Cluster       *Cluster         // nil: off
	Localities    *locality.Config // its Localities begin with the own one, whose Name is the platform's to say. nil: off
}

// State says where what is learned is kept.
type State struct {
	Folder           string
	SnapshotInterval time.Duration
	MaxListings      int    // of each locality, at most
	Key              []byte // of a MAC; empty: none
}

const defaultMaxListings = 4096

// readState reads where knowledge is kept; nil: nowhere.
func readState(pb *operatorpb.State, env func(string) string) (*State, error) {
	if pb == nil {
		return nil, nil
	}
	s := &State{Folder: pb.GetFolder(), MaxListings: cmp.Or(int(pb.GetListings()), defaultMaxListings)}
	if s.Folder == "" {
		return nil, newKeyError("state.folder", errors.New("it is needed"))
	}
	if s.MaxListings < 0 || s.MaxListings > 1<<20 {
		return nil, newKeyError("state.listings", fmt.Errorf("%d is not from 1 to %d", s.MaxListings, 1<<20))
	}
	var err error
	if s.SnapshotInterval, err = parseDuration("state.every", pb.GetEvery(), warmstart.DefaultSaveInterval, 100*time.Millisecond, time.Hour); err != nil {
		return nil, err
	}
	if name := pb.GetKeyEnv(); name != "" {
		text := env(name)
		if text == "" {
			return nil, newKeyError("state.key_env", fmt.Errorf("%s is not set", name))
		}
		if s.Key, err = hex.DecodeString(text); err != nil || len(s.Key) < 16 {
			return nil, newKeyError("state.key_env", fmt.Errorf("%s is not 16 bytes or more in hex", name))
		}
	}
	return s, nil
}

// LocalitiesFor completes what the file says of tiers with the own locality. nil: they are off.
func (o *Operator) LocalitiesFor(zone string, zones []string) (*locality.Config, error) {
	if o.Localities == nil {
		return nil, nil
	}
	c := *o.Localities
	c.Localities = slices.Clone(c.Localities)
	c.Localities[0].Name = zone
	for i, l := range c.Localities[1:] {
		key := fmt.Sprintf("tiers.locality[%d].name", i)
		if l.Name == zone {
			return nil, newKeyError(key, fmt.Errorf("%q is the own locality", l.Name))
		}
		if !slices.Contains(zones, l.Name) {
			return nil, newKeyError(key, fmt.Errorf("%q is none of the zones, which are %q", l.Name, zones))
		}
	}
	return &c, nil
}

// SameRestartSettings says whether a newer file has all that is taken in at the start only: all but the keys of the signed front, whether that goes on
// at all, and what tiers go by.
func (o *Operator) SameRestartSettings(newer *Operator) bool {
	fixed := func(o *Operator) []any {
		var places []string
		if o.Localities != nil {
			for _, l := range o.Localities.Localities {
				places = append(places, l.Name)
			}
		}
		return []any{o.AgentListen, o.HTTPListen, o.MetricsListen, o.Overload, places, o.State, o.Cluster}
	}
	moved := newer.Signed != nil && (o.Signed == nil || o.Signed.Listen != newer.Signed.Listen)
	return !moved && reflect.DeepEqual(fixed(o), fixed(newer))
}

// Signed is the configuration of the front for signed URLs.
type Signed struct {
	Listen    string
	RenewWith string // id of the key that signs fresh tokens; empty: none are given out
	URLs      signedurl.Config
}

// keyError is an error with the key it is about.
type keyError struct {
	key string
	err error
}

func (f *keyError) Error() string { return f.key + ": " + f.err.Error() }
func (f *keyError) Unwrap() error { return f.err }

func newKeyError(key string, err error) error { return &keyError{key, err} }

// LoadOperator reads the operator's file; an empty path is an empty file. Errors name the key and its line.
func LoadOperator(path string, env func(string) string) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	o, err := ParseOperator(data, env)
	if err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	return o, nil
}

// ParseOperator reads what an operator's file holds.
func ParseOperator(data []byte, env func(string) string) (*Operator, error) {
	var pb operatorpb.Operator
	if err := prototext.Unmarshal(data, &pb); err != nil { // it names the line and the key
		return nil, err
	}
	o, err := readOperator(&pb, env)
	var f *keyError
	if errors.As(err, &f) {
		if line := lineOf(data, f.key); line > 0 {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
	}
	return o, err
}

// lineOf finds the line of a key such as "signed_front.key[1].form", or of the nearest one round it; 0: nowhere.
func lineOf(data []byte, key string) (line int) {
	lines := bytes.Split(data, []byte("\n"))
	nodes, err := parser.Parse(data)
	if err != nil {
		return 0
	}
	for name := range strings.SplitSeq(key, ".") {
		index := 0
		if n, rest, ok := strings.Cut(name, "["); ok {
			name = n
			_, _ = fmt.Sscanf(rest, "%d]", &index)
		}
		var found *ast.Node
		for _, n := range nodes {
			if n.Name != name {
				continue
			}
			if index--; index < 0 {
				found = n
				break
			}
		}
		if found == nil {
			return line
		}
		// A node begins with the blank lines and comments before it.
		for line = int(found.Start.Line); line < len(lines); line++ {
			if l := bytes.TrimSpace(lines[line-1]); len(l) > 0 && l[0] != '#' {
				break
			}
		}
		nodes = found.Children
	}
	return line
}

func readOperator(pb *operatorpb.Operator, env func(string) string) (*Operator, error) {
	o := &Operator{AgentListen: pb.GetHealth().GetAgentListen(), HTTPListen: pb.GetHealth().GetHttpListen(),
		MetricsListen: pb.GetMetrics().GetListen()}
	for _, a := range [...]struct {
		key, value string
		needed     bool
	}{{"signed_front.listen", pb.GetSignedFront().GetListen(), pb.SignedFront != nil},
		{"health.agent_listen", o.AgentListen, false}, {"health.http_listen", o.HTTPListen, false},
		{"metrics.listen", o.MetricsListen, false}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil && (a.needed || a.value != "") {
			return nil, newKeyError(a.key, err)
		}
	}
	var err error
	if pb.SignedFront != nil {
		if o.Signed, err = readSigned(pb.SignedFront, env); err != nil {
			return nil, err
		}
	}
	if o.Overload, err = readOverload(pb.GetOverload()); err != nil {
		return nil, err
	}
	if o.State, err = readState(pb.GetState(), env); err != nil {
		return nil, err
	}
	if o.Cluster, err = readCluster(pb.GetFleet(), env); err != nil {
		return nil, err
	}
	if o.Localities, err = readLocalities(pb.GetTiers()); err != nil {
		return nil, err
	}
	return o, nil
}

// readLocalities reads what tiers go by; nil: they are off.
func readLocalities(pb *operatorpb.Tiers) (*locality.Config, error) {
	if len(pb.GetLocality()) == 0 {
		if pb != nil {
			return nil, newKeyError("tiers.locality", errors.New("there is none"))
		}
		return nil, nil
	}
	c := locality.Config{Localities: []locality.Locality{{Name: "own locality", Weight: pb.GetOwnWeight()}}, OverProvisioning: pb.GetOver(),
		MaxSpillover: pb.GetSpill(), SpareCapacityShare: pb.GetSpare(), FullUtilization: pb.GetFull(), SpilloverRise: pb.GetRise(), PanicThreshold: pb.GetPanic(), MinHealth: pb.GetIll(),
		RampStart: pb.GetStart(), WarmHitRatio: pb.GetWarm()}
	var err error
	for _, s := range [...]struct {
		key, text string
		def       time.Duration
		to        *time.Duration
	}{{"tiers.ramp", pb.GetRamp(), locality.DefaultRampDuration, &c.RampDuration}, {"tiers.silence", pb.GetSilence(), locality.DefaultSilenceTimeout, &c.SilenceTimeout},
		{"tiers.back", pb.GetBack(), locality.DefaultBaseBackoff, &c.BaseBackoff}, {"tiers.back_most", pb.GetBackMost(), locality.DefaultMaxBackoff, &c.MaxBackoff}} {
		if *s.to, err = parseDuration(s.key, s.text, s.def, 10*time.Millisecond, time.Hour); err != nil {
			return nil, err
		}
	}
	seen := map[string]bool{}
	for i, l := range pb.GetLocality() {
		key := fmt.Sprintf("tiers.locality[%d]", i)
		switch {
		case l.GetName() == "":
			return nil, newKeyError(key+".name", errors.New("empty"))
		case seen[l.GetName()]:
			return nil, newKeyError(key+".name", fmt.Errorf("%q stands twice", l.GetName()))
		case l.GetLevel() < 1 || l.GetLevel() > 16:
			return nil, newKeyError(key+".level", fmt.Errorf("%d is not from 1 to 16", l.GetLevel()))
		case !(l.GetWeight() >= 0):
			return nil, newKeyError(key+".weight", fmt.Errorf("%v", l.GetWeight()))
		}
		seen[l.GetName()] = true
		c.Localities = append(c.Localities, locality.Locality{Name: l.GetName(), Level: int(l.GetLevel()), Weight: l.GetWeight()})
	}
	if err := c.Validate(); err != nil {
		return nil, localityFault(err)
	}
	return &c, nil
}

// localityKeys are the keys of the fields of locality.Config that Validate may find at fault.
var localityKeys = map[string]string{
	"Localities[0].Weight": "tiers.own_weight",
	"OverProvisioning":     "tiers.over",
	"MaxSpillover":         "tiers.spill",
	"SpareCapacityShare":   "tiers.spare",
	"FullUtilization":      "tiers.full",
	"SpilloverRise":        "tiers.rise",
	"PanicThreshold":       "tiers.panic",
	"MinHealth":            "tiers.ill",
	"RampStart":            "tiers.start",
	"RampDuration":         "tiers.ramp",
	"WarmHitRatio":         "tiers.warm",
	"SilenceTimeout":       "tiers.silence",
	"BaseBackoff":          "tiers.back",
	"MaxBackoff":           "tiers.back_most",
}

// localityFault names the key of the field that an error of locality.Config.Validate is about.
func localityFault(err error) error {
	var field *locality.FieldError
	if !errors.As(err, &field) || localityKeys[field.Field] == "" {
		return newKeyError("tiers", err)
	}
	return newKeyError(localityKeys[field.Field], errors.New(field.Reason))
}

// keyName turns a field's name into that of a key: BackMost is back_most.
func keyName(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// parseDuration reads a length of time; an empty one is the default.
func parseDuration(key, text string, def, least, most time.Duration) (time.Duration, error) {
	if text == "" {
		return def, nil
	}
	d, err := time.ParseDuration(text)
	if err == nil && (d < least || d > most) {
		err = fmt.Errorf("%v is not from %v to %v", d, least, most)
	}
	if err != nil {
		return 0, newKeyError(key, err)
	}
	return d, nil
}

func readOverload(pb *operatorpb.Overload) (c overload.Config, err error) {
	for _, s := range [...]struct {
		key, text   string
		def         time.Duration
		least, most time.Duration
		to          *time.Duration
	}{
		{"overload.wait", pb.GetWait(), overload.DefaultMaxWait, time.Millisecond, 10 * time.Second, &c.MaxWait},
		{"overload.target", pb.GetTarget(), 0, time.Millisecond, 10 * time.Second, &c.TargetWait},
		{"overload.tick", pb.GetTick(), overload.DefaultTick, 5 * time.Millisecond, time.Second, &c.Tick},
		{"overload.stall_least", pb.GetStallLeast(), overload.DefaultMinPause, 10 * time.Millisecond, time.Minute, &c.MinPause},
	} {
		if *s.to, err = parseDuration(s.key, s.text, s.def, s.least, s.most); err != nil {
			return c, err
		}
	}
	switch {
	case c.TargetWait > c.MaxWait:
		return c, newKeyError("overload.target", fmt.Errorf("%v is over wait, which is %v", c.TargetWait, c.MaxWait))
	case !(pb.GetProbe() >= 0 && pb.GetProbe() <= 1):
		return c, newKeyError("overload.probe", fmt.Errorf("%v is not from 0 to 1", pb.GetProbe()))
	case pb.GetAnswersMb() < 0:
		return c, newKeyError("overload.answers_mb", errors.New("negative"))
	}
	c.ProbeShare = cmp.Or(pb.GetProbe(), overload.DefaultProbeShare)
	c.RepeatsFirst, c.MemoryLimit = pb.GetRepeatsFirst(), int64(pb.GetAnswersMb())<<20
	return c, nil
}

func readSigned(pb *operatorpb.SignedFront, env func(string) string) (*Signed, error) {
	s := &Signed{Listen: pb.GetListen(), RenewWith: pb.GetRenewWith(), URLs: signedurl.Config{Base: pb.GetBase()}}
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

// loadKey reads a key from where the file says, and names the faulty part with an error, which shows no secret.
func loadKey(k *operatorpb.Key, env func(string) string) (key signedurl.Key, name string, err error) {
	key = signedurl.Key{ID: k.GetId(), Form: signedurl.Form(k.GetForm()), Algorithm: k.GetAlgorithm()}
	text := ""
	switch {
	case k.GetSecretEnv() != "":
		if name, text = "secret_env", env(k.GetSecretEnv()); text == "" {
			return key, name, fmt.Errorf("%s is not set", k.GetSecretEnv())
		}
	case k.GetSecretFile() != "":
		name = "secret_file"
		b, err := os.ReadFile(k.GetSecretFile())
		if err != nil {
			return key, name, err
		}
		text = strings.TrimSpace(string(b))
	}
	if text != "" {
		if key.Secret, err = hex.DecodeString(text); err != nil {
			return key, name, errors.New("not hex")
		}
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
