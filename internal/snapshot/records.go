package snapshot

import (
	"time"

	"larchusher/internal/snapshot/snapshotpb"
	"larchusher/routing"
	"larchusher/warmstart"
)

// Conversions between the values of a snapshot and the records of a file. The protobuf fields keep the names of the file format,
// which differ from those of the Go fields.

func headRecord(s *warmstart.Snapshot) *snapshotpb.Record {
	return &snapshotpb.Record{Is: &snapshotpb.Record_Head{Head: &snapshotpb.Head{
		Made:     int64(s.CreatedAt),
		Gateway:  s.Gateway,
		Settings: s.SettingsFingerprint,
		Position: s.JournalPosition,
	}}}
}

func setHead(s *warmstart.Snapshot, h *snapshotpb.Head) {
	s.CreatedAt, s.Gateway = time.Duration(h.GetMade()), h.GetGateway()
	s.SettingsFingerprint, s.JournalPosition = h.GetSettings(), h.GetPosition()
}

func directorRecord(d routing.LearnedState) *snapshotpb.Record {
	return &snapshotpb.Record{Is: &snapshotpb.Record_Director{Director: &snapshotpb.Director{At: int64(d.At), Zone: d.Zone}}}
}

func learnedState(d *snapshotpb.Director) routing.LearnedState {
	return routing.LearnedState{At: time.Duration(d.GetAt()), Zone: d.GetZone()}
}

func purgeRecord(p routing.PurgeRecord) *snapshotpb.Record {
	return &snapshotpb.Record{Is: &snapshotpb.Record_Purge{Purge: &snapshotpb.Purge{Name: p.Name, At: int64(p.At)}}}
}

func purge(p *snapshotpb.Purge) routing.PurgeRecord {
	return routing.PurgeRecord{Name: p.GetName(), At: time.Duration(p.GetAt())}
}

func endpointRecord(h routing.EndpointHealth) *snapshotpb.Record {
	return &snapshotpb.Record{Is: &snapshotpb.Record_Server{Server: &snapshotpb.Server{
		Server:  h.Endpoint,
		Boot:    int64(h.Incarnation),
		Seen:    int64(h.LastAnswer),
		Failing: h.ErrorRate,
		Ejected: int64(h.EjectedUntil),
		Penalty: int64(h.Backoff),
		Quick:   int64(h.FillLatency),
		QuickAt: int64(h.FillLatencyAt),
		Most:    h.ConcurrencyLimit,
		Late:    h.LateShare,
	}}}
}

func endpointHealth(h *snapshotpb.Server) routing.EndpointHealth {
	return routing.EndpointHealth{
		Endpoint:         h.GetServer(),
		Incarnation:      time.Duration(h.GetBoot()),
		LastAnswer:       time.Duration(h.GetSeen()),
		ErrorRate:        h.GetFailing(),
		EjectedUntil:     time.Duration(h.GetEjected()),
		Backoff:          time.Duration(h.GetPenalty()),
		FillLatency:      time.Duration(h.GetQuick()),
		FillLatencyAt:    time.Duration(h.GetQuickAt()),
		ConcurrencyLimit: h.GetMost(),
		LateShare:        h.GetLate(),
	}
}

func listingRecord(l routing.Listing) *snapshotpb.Record {
	return &snapshotpb.Record{Is: &snapshotpb.Record_Listing{Listing: &snapshotpb.Listing{
		Key:    l.Key,
		Server: l.Endpoint,
		Boot:   int64(l.Incarnation),
		HitAt:  int64(l.HitAt),
		Last:   int64(l.LastRequest),
		Gap:    int64(l.MeanGap),
		Count:  l.Count,
		Work:   int64(l.TransferTime),
	}}}
}

func listing(l *snapshotpb.Listing) routing.Listing {
	return routing.Listing{
		Key:          l.GetKey(),
		Endpoint:     l.GetServer(),
		Incarnation:  time.Duration(l.GetBoot()),
		HitAt:        time.Duration(l.GetHitAt()),
		LastRequest:  time.Duration(l.GetLast()),
		MeanGap:      time.Duration(l.GetGap()),
		Count:        l.GetCount(),
		TransferTime: time.Duration(l.GetWork()),
	}
}
