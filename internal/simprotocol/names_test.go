package simprotocol

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchusher/routing"
)

// checkOneToOne checks that each of the values 0 to n-1 has exactly one word; the default may also have the empty
// word.
func checkOneToOne[W comparable, T ~int](t *testing.T, name string, words map[W]T, n int) {
	t.Helper()
	var empty W
	count := map[T]int{}
	for w, v := range words {
		if w != empty {
			count[v]++
		}
	}
	for v := range n {
		if count[T(v)] != 1 {
			t.Errorf("%s: value %d has %d words, want 1", name, v, count[T(v)])
		}
	}
	if len(count) != n {
		t.Errorf("%s: %d values have words, want %d", name, len(count), n)
	}
}

// Each value of package routing has one word in the protocol, and vice versa.
func TestWireWordsMapOneToOne(t *testing.T) {
	checkOneToOne(t, "statuses", statuses, int(routing.Miss)+1)
	checkOneToOne(t, "phases", phases, int(routing.Removed)+1)
	checkOneToOne(t, "kinds of update", updateKinds, int(routing.WatchLost)+1)
	checkOneToOne(t, "effects", effects, int(routing.NonIdempotent)+1)
	checkOneToOne(t, "dedup scopes", scopes, int(routing.ScopeCell)+1)
	checkOneToOne(t, "answer details", answerDetails, int(routing.DetailAll)+1)
	checkOneToOne(t, "sibling modes", siblingModes, int(routing.SiblingsAnywhere)+1)
	for n := range int(routing.ReasonOriginFailed) + 1 {
		in := `["ended","d/1","id",0,0,"n",200,` + strconv.Itoa(n) + `,false]`
		if r := decodeOne(t, in).Event.(routing.AttemptResult).Reason; int(r) != n {
			t.Errorf("reason %d is decoded as %d, want the same number", n, r)
		}
	}
	for _, unknown := range []string{"11", "-1", "99"} {
		if r := decodeOne(t, `["ended","d/1","id",0,0,"n",200,`+unknown+`,false]`).Event.(routing.AttemptResult).Reason; r != routing.ReasonNone {
			t.Errorf("the unknown reason %s is decoded as %d, want ReasonNone", unknown, r)
		}
	}
}

// settingsMapping lists the field that each key of the settings sets, with a value other than the default.
var settingsMapping = []struct{ key, value, field string }{
	{"balancers", `3`, "Settings.Directors"},
	{"dcs", `["a"]`, "Settings.Zones"},
	{"discovery", `"ask"`, "Settings.PollDiscovery"},
	{"flavors", `["box"]`, "Settings.Kinds"},
	{"position", `2`, "Settings.Index Settings.IndexUnknown"},
	{"stepMs", `4`, "Settings.ClockStep"},
	{"tenants", `[{"name":"t"}]`, "Settings.Tenants"},
	{"weightSource", `"nominal"`, "Settings.WeightsKnown"},
	{"zone", `"a"`, "Settings.Zone"},
	{"classes.aimMs", `7`, "Class.LatencyObjective"},
	{"classes.aimStretch", `7`, "Class.ObjectiveStretch"},
	{"classes.dedupScope", `"cell"`, "Class.DedupScope"},
	{"classes.effect", `"once"`, "Class.Effect"},
	{"classes.hardLimitMs", `7`, "Class.Deadline"},
	{"classes.lateWorth", `7`, "Class.LateWeight"},
	{"classes.name", `"other"`, "Class.Name"},
	{"classes.repeatWindowMs", `7`, "Class.DedupWindow"},
	{"classes.streaming", `true`, "Class.Stream"},
	{"classes.value", `7`, "Class.PriorityWeight"},
	{"familyInfo.countByZone", `[1]`, "Settings.ZoneDirectors"},
	{"familyInfo.homeHub", `[1]`, "Settings.ZoneHub"},
	{"familyInfo.inPieces", `[true]`, "Class.Parts"},
	{"familyInfo.joins", `true`, "Settings.AllowCoalescing"},
	{"familyInfo.lifetimeByClassMs", `[7]`, "Class.FreshFor"},
	{"familyInfo.mayPassBy", `true`, "Settings.AllowBypass"},
	{"familyInfo.neighbours", `"any"`, "Settings.Siblings"},
	{"familyInfo.neverKept", `[true]`, "Class.Uncacheable"},
	{"familyInfo.noticeTimeMs", `7`, "Settings.PurgeGrace"},
	{"familyInfo.oldCopyWorth", `[7]`, "Class.StaleWeight"},
	{"familyInfo.originFallMs", `7`, "Settings.OriginOverloadWindow"},
	{"familyInfo.originFallMultiple", `7`, "Settings.OriginOverloadMultiple"},
	{"familyInfo.parentColdFrom", `7`, "Settings.ParentSlowStartInitialShare"},
	{"familyInfo.parentColdMs", `7`, "Settings.ParentSlowStartDuration"},
	{"familyInfo.purgeSettlesMs", `7`, "Settings.PurgeSettleTime"},
	{"familyInfo.rootKind", `7`, "Settings.OriginKind"},
	{"familyInfo.says", `"all"`, "Settings.AnswerDetail"},
	{"familyInfo.shieldKind", `7`, "Settings.ParentKind"},
	{"familyInfo.staleForMs", `[7]`, "Class.StaleGrace"},
	{"familyInfo.streamKbPerS", `7`, "Settings.FlowKBps"},
	{"familyInfo.upperFallMultiple", `7`, "Settings.ParentOverloadMultiple"},
	{"familyInfo.zoneLinkKbPerS", `[7]`, "Settings.ZoneLink"},
	{"invariants.askWithinMs", `7`, "Settings.MaxPollInterval"},
	{"invariants.coldFrom", `7`, "Settings.SlowStartInitialShare"},
	{"invariants.overloadForMs", `7`, "Settings.OverloadWindow"},
	{"invariants.rampTimeMs", `7`, "Settings.SlowStartDuration"},
	{"invariants.stopSendingWithinMs", `7`, "Settings.DrainGrace"},
	{"invariants.tipMultiple", `7`, "Settings.OverloadMultiple"},
	{"limits.cancelling", `true`, "Settings.CanCancel"},
	{"limits.connectTimeoutMs", `7`, "Sockets.ConnectTimeout"},
	{"limits.keepaliveMs", `7`, "Sockets.KeepAlive"},
	{"limits.maxRetryAfterMs", `7`, "Settings.MaxRetryAfter"},
	{"limits.mostHeld", `7`, "Sockets.MaxOpenRequests"},
	{"limits.peerMessages", `true`, "Settings.Gossip"},
	{"limits.probing", `true`, "Settings.HealthChecks"},
	{"limits.retryAfter", `true`, "Settings.SendRetryAfter"},
	{"limits.secondCopies", `true`, "Settings.HedgedRequests"},
	{"limits.sendCap", `7`, "Settings.MaxAttempts"},
	{"limits.streamsPerConn", `7`, "Sockets.StreamsPerConn"},
	{"loadInfo.fields", `["util"]`, "Settings.LoadReportFields"},
	{"loadInfo.how", `"off"`, "Settings.LoadReportFields"},
	{"novel", `{"key":1}`, ""},
}

// baseSettings returns settings in which each key of settingsMapping can be changed on its own.
func baseSettings() map[string]any {
	return map[string]any{
		"classes":    []any{map[string]any{"name": "page"}},
		"familyInfo": map[string]any{"rootKind": 1},
		"invariants": map[string]any{},
		"limits":     map[string]any{},
		"loadInfo":   map[string]any{"how": "inline", "fields": []any{"inflight"}},
	}
}

// setKey sets a key such as limits.sendCap. Keys under classes are set in the first class.
func setKey(settings map[string]any, key, value string) {
	object := settings
	part, name, nested := strings.Cut(key, ".")
	switch {
	case !nested:
		name = key
	case part == "classes":
		object = settings[part].([]any)[0].(map[string]any)
	default:
		object = settings[part].(map[string]any)
	}
	object[name] = json.RawMessage(value)
}

// parseToFields parses settings and returns the values by TYPE.FIELD.
func parseToFields(t *testing.T, settings map[string]any) map[string]any {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	s, sockets, err := ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	fields := map[string]any{}
	add := func(name string, v any) {
		for i := range reflect.TypeOf(v).NumField() {
			fields[name+"."+reflect.TypeOf(v).Field(i).Name] = reflect.ValueOf(v).Field(i).Interface()
		}
	}
	add("Class", s.Classes[0])
	s.Classes = nil
	add("Settings", s)
	add("Sockets", sockets)
	return fields
}

// Each key of the settings sets the field in settingsMapping and no other, and each field has a key.
func TestEachSettingsKeySetsOneField(t *testing.T) {
	base := parseToFields(t, baseSettings())
	mapped := map[string]bool{"Settings.Classes": true}
	keys := map[string]bool{}
	for _, m := range settingsMapping {
		settings := baseSettings()
		setKey(settings, m.key, m.value)
		var changed []string
		for field, v := range parseToFields(t, settings) {
			if !reflect.DeepEqual(v, base[field]) {
				changed = append(changed, field)
			}
		}
		slices.Sort(changed)
		if got := strings.Join(changed, " "); got != m.field {
			t.Errorf("key %s sets the fields %q, want %q", m.key, got, m.field)
		}
		for _, f := range strings.Fields(m.field) {
			mapped[f] = true
		}
		keys[m.key] = true
	}
	for _, field := range slices.Sorted(maps.Keys(base)) {
		if !mapped[field] {
			t.Errorf("no key in settingsMapping sets the field %s", field)
		}
	}
	for _, key := range leafKeys(reflect.TypeFor[wireSettings](), "") {
		if !keys[key] {
			t.Errorf("settingsMapping lacks the key %s", key)
		}
	}
}

// leafKeys returns the JSON keys of a struct type, recursively. The keys of classes are those of a list element.
func leafKeys(typ reflect.Type, path string) (keys []string) {
	for i := range typ.NumField() {
		f := typ.Field(i)
		key, inner := path+f.Tag.Get("json"), f.Type
		if inner.Kind() == reflect.Slice && key == "classes" {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			keys = append(keys, leafKeys(inner, key+".")...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

// Events that are not in TestDecodeEvents.
func TestDecodeFirstByteAndHealthCheck(t *testing.T) {
	for in, want := range map[string]routing.Event{
		`["firstByte","d/1","id",2,null,"n"]`:           routing.FirstByte{ID: "id", Attempt: 2, Endpoint: "n"},
		`["healthResult","d/1",503,"n",1.5,[0.5]]`:      routing.HealthCheckResult{Status: routing.Rejected, Endpoint: "n", Latency: 1500 * time.Microsecond, LoadReport: []float64{0.5}},
		`["ended","d/1","id",0,0,"n",598,0,false,2,[]]`: routing.AttemptResult{ID: "id", Endpoint: "n", Status: routing.Reset, Latency: 2 * time.Millisecond},
	} {
		if it := decodeOne(t, in); !reflect.DeepEqual(it.Event, want) {
			t.Errorf("%s\n got %+v\nwant %+v", in, it.Event, want)
		}
	}
}
