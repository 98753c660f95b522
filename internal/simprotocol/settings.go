package simprotocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"larchusher/routing"
)

// wireSettings is the protocol's settings object.
type wireSettings struct {
	Balancers int `json:"balancers"`
	Classes   []struct {
		AimMs          float64 `json:"aimMs"`
		AimStretch     float64 `json:"aimStretch"`
		DedupScope     string  `json:"dedupScope"`
		Effect         string  `json:"effect"`
		HardLimitMs    float64 `json:"hardLimitMs"`
		LateWorth      float64 `json:"lateWorth"`
		Name           string  `json:"name"`
		RepeatWindowMs float64 `json:"repeatWindowMs"`
		Streaming      bool    `json:"streaming"`
		Value          float64 `json:"value"`
	} `json:"classes"`
	DCs        []string `json:"dcs"`
	Discovery  string   `json:"discovery"`
	FamilyInfo struct {
		CountByZone        []int     `json:"countByZone"`
		HomeHub            []int     `json:"homeHub"`
		InPieces           []bool    `json:"inPieces"`
		Joins              bool      `json:"joins"`
		LifetimeByClassMs  []float64 `json:"lifetimeByClassMs"`
		MayPassBy          bool      `json:"mayPassBy"`
		Neighbours         string    `json:"neighbours"`
		NeverKept          []bool    `json:"neverKept"`
		NoticeTimeMs       float64   `json:"noticeTimeMs"`
		OldCopyWorth       []float64 `json:"oldCopyWorth"`
		OriginFallMs       float64   `json:"originFallMs"`
		OriginFallMultiple float64   `json:"originFallMultiple"`
		ParentColdFrom     float64   `json:"parentColdFrom"`
		ParentColdMs       float64   `json:"parentColdMs"`
		PurgeSettlesMs     float64   `json:"purgeSettlesMs"`
		RootKind           *int      `json:"rootKind"`
		Says               string    `json:"says"`
		ShieldKind         *int      `json:"shieldKind"`
		StaleForMs         []float64 `json:"staleForMs"`
		StreamKbPerS       float64   `json:"streamKbPerS"`
		UpperFallMultiple  float64   `json:"upperFallMultiple"`
		ZoneLinkKbPerS     []float64 `json:"zoneLinkKbPerS"`
	} `json:"familyInfo"`
	Flavors    []string `json:"flavors"`
	Invariants struct {
		AskWithinMs         float64 `json:"askWithinMs"`
		ColdFrom            float64 `json:"coldFrom"`
		OverloadForMs       float64 `json:"overloadForMs"`
		RampTimeMs          float64 `json:"rampTimeMs"`
		StopSendingWithinMs float64 `json:"stopSendingWithinMs"`
		TipMultiple         float64 `json:"tipMultiple"`
	} `json:"invariants"`
	Limits struct {
		Cancelling       bool    `json:"cancelling"`
		ConnectTimeoutMs float64 `json:"connectTimeoutMs"`
		KeepaliveMs      float64 `json:"keepaliveMs"`
		MaxRetryAfterMs  float64 `json:"maxRetryAfterMs"`
		MostHeld         int     `json:"mostHeld"`
		PeerMessages     bool    `json:"peerMessages"`
		Probing          bool    `json:"probing"`
		RetryAfter       bool    `json:"retryAfter"`
		SecondCopies     bool    `json:"secondCopies"`
		SendCap          int     `json:"sendCap"`
		StreamsPerConn   int     `json:"streamsPerConn"`
	} `json:"limits"`
	LoadInfo struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"loadInfo"`
	Position *int    `json:"position"`
	StepMs   float64 `json:"stepMs"`
	Tenants  []struct {
		Name string `json:"name"`
	} `json:"tenants"`
	WeightSource string `json:"weightSource"`
	Zone         string `json:"zone"`
}

// lookup returns the value that the word w stands for in a table. An unknown word is recorded as an error of the
// named setting.
func lookup[T any](f *fields, table map[string]T, name, w string) T {
	v, ok := table[w]
	if !ok {
		f.fail(name, fmt.Errorf("unknown value %q", w))
	}
	return v
}

// elementOrZero returns element i of s, or the zero value if s is too short.
func elementOrZero[T any](s []T, i int) (v T) {
	if i < len(s) {
		v = s[i]
	}
	return v
}

// Sockets are the settings of network connections. Only a gateway needs them, not a simulated director.
type Sockets struct {
	ConnectTimeout  time.Duration // limit of connecting to an endpoint
	KeepAlive       time.Duration // time after which endpoints close idle connections
	MaxOpenRequests int           // maximum open requests of the gateway
	StreamsPerConn  int           // maximum attempts in flight on one connection to an endpoint
}

// ParseSettings parses a settings object on its own, as in a gateway's configuration. Errors name the invalid key.
func ParseSettings(object []byte) (routing.Settings, Sockets, error) {
	f := fields{values: []json.RawMessage{object}}
	var e wireSettings
	f.value(0, "settings", &e, true)
	s := e.settings(&f)
	return s, Sockets{ConnectTimeout: duration(e.Limits.ConnectTimeoutMs),
		KeepAlive: duration(e.Limits.KeepaliveMs), MaxOpenRequests: e.Limits.MostHeld,
		StreamsPerConn: e.Limits.StreamsPerConn}, f.err
}

// settings reads the settings at position i of an event.
func (f *fields) settings(i int, name string) routing.Settings {
	var e wireSettings
	f.value(i, name, &e, true)
	return e.settings(f)
}

// settings converts the settings object. An error is recorded in f.
func (e *wireSettings) settings(f *fields) routing.Settings {
	if f.err != nil {
		return routing.Settings{}
	}
	s := e.scalarSettings(f)
	s.ParentKind = -1 // none
	if e.FamilyInfo.ShieldKind != nil {
		s.ParentKind = *e.FamilyInfo.ShieldKind
	}
	if e.FamilyInfo.RootKind == nil {
		f.fail("familyInfo.rootKind", errors.New("missing"))
	} else {
		s.OriginKind = *e.FamilyInfo.RootKind
	}
	if e.LoadInfo.How == "inline" || e.LoadInfo.How == "on_probe" {
		s.LoadReportFields = e.LoadInfo.Fields
	}
	if e.Position != nil {
		s.Index = *e.Position
	}
	for _, t := range e.Tenants {
		s.Tenants = append(s.Tenants, t.Name)
	}
	for i := range e.Classes {
		s.Classes = append(s.Classes, e.class(f, i))
	}
	return s
}

// scalarSettings returns the settings that each follow from one key.
func (e *wireSettings) scalarSettings(f *fields) routing.Settings {
	fi := &e.FamilyInfo
	return routing.Settings{
		IndexUnknown:                e.Position == nil,
		Directors:                   e.Balancers,
		Zone:                        e.Zone,
		Zones:                       e.DCs,
		ZoneHub:                     fi.HomeHub,
		ZoneDirectors:               fi.CountByZone,
		ZoneLink:                    fi.ZoneLinkKbPerS,
		Kinds:                       e.Flavors,
		WeightsKnown:                e.WeightSource != "" && e.WeightSource != "off",
		FlowKBps:                    fi.StreamKbPerS,
		PollDiscovery:               e.Discovery == "ask",
		AllowBypass:                 fi.MayPassBy,
		AllowCoalescing:             fi.Joins,
		Siblings:                    lookup(f, siblingModes, "familyInfo.neighbours", fi.Neighbours),
		AnswerDetail:                lookup(f, answerDetails, "familyInfo.says", fi.Says),
		HealthChecks:                e.Limits.Probing,
		Gossip:                      e.Limits.PeerMessages,
		CanCancel:                   e.Limits.Cancelling,
		HedgedRequests:              e.Limits.SecondCopies,
		SendRetryAfter:              e.Limits.RetryAfter,
		MaxRetryAfter:               duration(e.Limits.MaxRetryAfterMs),
		MaxAttempts:                 e.Limits.SendCap,
		ClockStep:                   duration(e.StepMs),
		DrainGrace:                  duration(e.Invariants.StopSendingWithinMs),
		SlowStartInitialShare:       e.Invariants.ColdFrom,
		SlowStartDuration:           duration(e.Invariants.RampTimeMs),
		OverloadMultiple:            e.Invariants.TipMultiple,
		OverloadWindow:              duration(e.Invariants.OverloadForMs),
		ParentSlowStartInitialShare: fi.ParentColdFrom,
		ParentSlowStartDuration:     duration(fi.ParentColdMs),
		ParentOverloadMultiple:      fi.UpperFallMultiple,
		OriginOverloadMultiple:      fi.OriginFallMultiple,
		OriginOverloadWindow:        duration(fi.OriginFallMs),
		PurgeGrace:                  duration(fi.NoticeTimeMs),
		PurgeSettleTime:             duration(fi.PurgeSettlesMs),
		MaxPollInterval:             duration(e.Invariants.AskWithinMs),
	}
}

// class returns the settings of the class at index i.
func (e *wireSettings) class(f *fields, i int) routing.Class {
	c, fi := &e.Classes[i], &e.FamilyInfo
	return routing.Class{
		Name:             c.Name,
		LatencyObjective: duration(c.AimMs),
		ObjectiveStretch: c.AimStretch,
		Deadline:         duration(c.HardLimitMs),
		PriorityWeight:   c.Value,
		LateWeight:       c.LateWorth,
		Effect:           lookup(f, effects, "classes.effect", c.Effect),
		DedupScope:       lookup(f, scopes, "classes.dedupScope", c.DedupScope),
		DedupWindow:      duration(c.RepeatWindowMs),
		Stream:           c.Streaming,
		FreshFor:         duration(elementOrZero(fi.LifetimeByClassMs, i)),
		StaleGrace:       duration(elementOrZero(fi.StaleForMs, i)),
		StaleWeight:      elementOrZero(fi.OldCopyWorth, i),
		Parts:            elementOrZero(fi.InPieces, i),
		Uncacheable:      elementOrZero(fi.NeverKept, i),
	}
}

// ms converts a Duration to the protocol's milliseconds, cut to whole microseconds.
func ms(d time.Duration) float64 { return float64(d/time.Microsecond) / 1000 }
