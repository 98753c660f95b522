package simprotocol

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"larchusher/routing"
)

const envText = `{"balancers":3,"classes":[{"name":"page","effect":"by_key","dedupScope":"cell","aimMs":250,` +
	`"hardLimitMs":3000,"newKey":1}],"dcs":["hub","here"],"zone":"here","flavors":["box","origin"],` +
	`"familyInfo":{"rootKind":1,"shieldKind":-1,"says":"hit","neighbours":"any","lifetimeByClassMs":[8000]},` +
	`"loadInfo":{"how":"off","fields":["x0"]},"unheard":{"of":true},"discovery":"ask","weightSource":"nominal"}`

// decodeOne decodes a batch that has one event, at 1.5 ms.
func decodeOne(t *testing.T, event string) Item {
	t.Helper()
	var d Decoder
	b, err := d.Decode([]byte(`{"tMs":1.5,"input":[` + event + `]}`))
	if err != nil {
		t.Fatalf("decoding %s: error %v, want none", event, err)
	}
	if b.Now != 1500*time.Microsecond || len(b.Items) != 1 {
		t.Fatalf("%s decoded as %+v, want one item at 1.5 ms", event, b)
	}
	return b.Items[0]
}

func TestDecodeEvents(t *testing.T) {
	for _, c := range []struct {
		in   string
		want routing.Event
	}{
		{`["demand","d/1","id","page",null,"f-a",8.25,640,11,3,6]`, routing.Request{ID: "id", Class: "page",
			Object: "f-a", Deadline: 8250 * time.Microsecond, SizeKB: 640, Group: 11, Part: 3, Retry: true, Write: true}},
		{`["demand","d/1","id","page",0,"f-a",8]`, routing.Request{ID: "id", Class: "page", Object: "f-a",
			Deadline: 8 * time.Millisecond}},
		{`["ended","d/1","id",9.4,2,"n",200,2,true,18.5,[0.5,1]]`, routing.AttemptResult{ID: "id", Attempt: 2, Endpoint: "n",
			Status: routing.OK, Reason: routing.ReasonFilled, Final: true, FillWait: 9400 * time.Microsecond,
			Latency: 18500 * time.Microsecond, LoadReport: []float64{0.5, 1}}},
		{`["ended","d/1","id",null,0,"n",404,null,null,null,null,"extra"]`, routing.AttemptResult{ID: "id", Endpoint: "n",
			Status: routing.Miss}},
		{`["noteFrom","d/1",2,"hi"]`, routing.GossipReceived{From: 2, Data: "hi"}},
		{`["replaced","d/1",null,11,85]`, routing.Purge{Group: 11, Age: 85 * time.Millisecond}},
		{`["expired","d/1","id"]`, routing.ClientGone{ID: "id"}},
		{`["alarm","d/1",9223372036854775807]`, routing.TimerFired{Token: 1<<63 - 1}},
		{`["sync","d/1",null,"lost",4]`, routing.EndpointUpdate{Kind: routing.WatchLost}},
	} {
		if it := decodeOne(t, c.in); !reflect.DeepEqual(it.Event, c.want) || it.Director != "d/1" {
			t.Errorf("%s\n got %+v\nwant %+v", c.in, it.Event, c.want)
		}
	}
}

func TestSettings(t *testing.T) {
	it := decodeOne(t, `["enlist","d/1",18446744073709551615,`+envText+`]`)
	s := it.Settings
	if it.Kind != ItemStart || it.Seed != 1<<64-1 || s.ParentKind != -1 || s.OriginKind != 1 || !s.PollDiscovery ||
		!s.WeightsKnown || s.LoadReportFields != nil || s.Siblings != routing.SiblingsAnywhere ||
		s.Classes[0].Effect != routing.IdempotentWithKey || s.Classes[0].DedupScope != routing.ScopeCell ||
		s.Classes[0].FreshFor != 8*time.Second {
		t.Errorf("got %+v, want a start with the seed 1<<64-1 and the settings of envText", it)
	}
}

func TestRedefinedListAppliesToLaterEvents(t *testing.T) {
	var d Decoder
	b, err := d.Decode([]byte(`{"tMs":0,"input":[["defineList",0,[[3,null,"box","here","U",1,"a"]]],` +
		`["sync","d/1",0,"total",1],["defineList",0,[[3,7,"box","here","L",null,"b"]]],["sync","d/1",0,"incr",2]]}`))
	if err != nil {
		t.Fatal(err)
	}
	one, two := b.Items[0].Event.(routing.EndpointUpdate), b.Items[1].Event.(routing.EndpointUpdate)
	if one.Endpoints[0].ID != "a" || two.Endpoints[0].ID != "b" || two.Endpoints[0].Phase != routing.Draining ||
		two.Endpoints[0].Incarnation != 7*time.Millisecond || two.Kind != routing.DeltaList {
		t.Errorf("first update %+v, want endpoint a; second update %+v, want a change to endpoint b, draining, started at 7 ms", one, two)
	}
}

func TestDecodeErrorsNameEventAndField(t *testing.T) {
	for in, want := range map[string]string{
		`nonsense`:                                               "not a batch",
		`{"input":[]}`:                                           "tMs",
		`{"tMs":1}`:                                              "input",
		`{"tMs":1,"input":[7]}`:                                  "event 0",
		`{"tMs":1,"input":[["alarm","d/1"]]}`:                    "alarm: tag: missing",
		`{"tMs":1,"input":[["expired","d"]]}`:                    "expired: job: missing",
		`{"tMs":1,"input":[["teardown"]]}`:                       "teardown: i: missing",
		`{"tMs":1,"input":[["defineList",16,[]]]}`:               "defineList: list",
		`{"tMs":1,"input":[["defineList",1,[[1,2,"b","z"]]]]}`:   "node: missing",
		`{"tMs":1,"input":[["sync","d",5,"total",1]]}`:           "list 5 was not defined",
		`{"tMs":1,"input":[["sync","d",5,"odd",1]]}`:             "how",
		`{"tMs":1,"input":[["ended","d","j",0,0,"n",999]]}`:      "ending",
		`{"tMs":1,"input":[["enlist","d",1,{}]]}`:                "rootKind",
		`{"tMs":1,"input":[["demand","d","j","c",null,"o",""]]}`: "deadlineMs",
	} {
		var d Decoder
		if _, err := d.Decode([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q in it", in, err, want)
		}
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	var names []string
	d := Decoder{OnUnknown: func(n string) { names = append(names, n) }}
	b, err := d.Decode([]byte(`{"tMs":1,"input":[["novel","d",{}]]}`))
	if err != nil || len(b.Items) != 0 || len(names) != 1 || names[0] != "novel" {
		t.Error(b, err, names)
	}
}

func TestEncodeActions(t *testing.T) {
	for _, c := range []struct {
		a    routing.Action
		want string
	}{
		{routing.ForwardAttempt{ID: "j", Endpoint: "n", FillSource: "p", Timeout: 900 * time.Millisecond, MaxAge: 1500 * time.Microsecond,
			CacheRank: 2, Coalesce: true, RefreshAhead: true}, `["answerFrom","d","j",900,1.5,"p",9,2,"n"]`},
		{routing.ForwardAttempt{ID: "j", Endpoint: "n", FillSource: "n", OnlyIfCached: true, NoParentCopy: true}, `["answerFrom","d","j",0,0,"n",6,0,"n"]`},
		{routing.Reject{ID: "j", RetryAfter: 250 * time.Millisecond}, `["decline","d","j",250]`},
		{routing.Fail{ID: "j"}, `["reportFailure","d","j"]`},
		{routing.CancelAttempt{ID: "j", Attempt: 3}, `["abortAttempt","d","j",3]`},
		{routing.SetTimer{At: time.Second, Token: 1<<63 - 1}, `["wakeAt","d",1000,9223372036854775807]`},
		{routing.SendGossip{To: routing.AllDirectors, Data: "a\"b"}, `["notify","d",null,"a\"b"]`},
		{routing.SendGossip{To: 2, Data: "x"}, `["notify","d",2,"x"]`},
		{routing.StartHealthCheck{Endpoint: "n"}, `["sample","d","n"]`},
		{routing.PollEndpoints{}, `["tail","d",true]`},
		{routing.Log{Text: "t"}, `["record","d","t"]`},
	} {
		var r Reply
		if err := r.AddAction("d", c.a); err != nil {
			t.Fatal(err)
		}
		if got, want := string(r.Line()), `{"cmds":[`+c.want+"]}\n"; got != want {
			t.Errorf("encoded as %s, want %s", got, want)
		}
	}
	var r Reply
	r.AddFault("d", "broke")
	if got := string(r.Line()); got != `{"cmds":[["bug","d","broke"]]}`+"\n" {
		t.Error(got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"tMs":1,"input":[["enlist","d",1,` + envText + `],["alarm","d",7]]}`))
	f.Add([]byte(`{"tMs":1,"input":[["defineList",0,[[0,null,"b","z","U",1,"n"]]],["sync","d",0,"total",1]]}`))
	f.Add([]byte(`{"tMs":-1e300,"input":[["ended","d","j",0,0,"n",200,99,true,1e300,[null,1]]]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var d Decoder
		b, err := d.Decode(line)
		if err != nil && len(b.Items) > 0 {
			t.Error("Decode returned items together with an error")
		}
		for _, it := range b.Items {
			if it.Kind == ItemEvent && it.Event == nil {
				t.Error("Decode returned an event item without an event")
			}
		}
	})
}
