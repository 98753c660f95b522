package clustertransport

import (
	"time"

	"larchusher/internal/net/clustertransport/linkpb"
	"larchusher/replication"
)

// Conversions between the messages of package replication and their protobuf form.

// maxAgeMicros is the maximum age of a received slot in µs; higher ages are lowered to it, so that times don't overflow. No kind of
// slot lives as long.
const maxAgeMicros = uint64(24 * time.Hour / time.Microsecond)

func encodeReplication(m *replication.Message) *linkpb.Copy {
	pb := &linkpb.Copy{Kind: int32(m.Kind), Id: m.ID, Most: int32(m.MaxBytes), More: m.More, Blank: m.CatchingUp}
	for _, v := range m.Versions {
		pb.Have = append(pb.Have, &linkpb.Have{Name: v.Incarnation.Name, Life: v.Incarnation.Number, Safety: v.UpTo[replication.Safety], Bulk: v.UpTo[replication.Bulk]})
	}
	for _, t := range m.Slots {
		pb.Slot = append(pb.Slot, encodeSlot(t))
	}
	if c := m.Checksum; c != nil {
		pb.Block = &linkpb.Block{Name: c.Incarnation.Name, Life: c.Incarnation.Number, Stream: int32(c.Stream), From: c.From, To: c.To, Sum: c.Sum}
	}
	return pb
}

func decodeReplication(pb *linkpb.Copy) *replication.Message {
	m := &replication.Message{Kind: replication.MessageKind(pb.GetKind()), ID: pb.GetId(), MaxBytes: int(pb.GetMost()), More: pb.GetMore(), CatchingUp: pb.GetBlank()}
	for _, v := range pb.GetHave() {
		m.Versions = append(m.Versions, replication.StreamVersions{
			Incarnation: replication.Incarnation{Name: v.GetName(), Number: v.GetLife()},
			UpTo:        [2]uint64{replication.Safety: v.GetSafety(), replication.Bulk: v.GetBulk()},
		})
	}
	for _, s := range pb.GetSlot() {
		m.Slots = append(m.Slots, decodeSlot(s))
	}
	if c := pb.GetBlock(); c != nil {
		m.Checksum = &replication.RangeChecksum{
			Incarnation: replication.Incarnation{Name: c.GetName(), Number: c.GetLife()},
			Stream:      replication.Stream(c.GetStream()),
			From:        c.GetFrom(),
			To:          c.GetTo(),
			Sum:         c.GetSum(),
		}
	}
	return m
}

func encodeSlot(t replication.TransferredSlot) *linkpb.Slot {
	s := t.Slot
	return &linkpb.Slot{
		Writer:     s.Writer.Name,
		Life:       s.Writer.Number,
		Seq:        s.Seq,
		Kind:       uint32(s.Kind),
		Key:        s.Key,
		Value:      s.Value,
		Stamp:      s.Timestamp,
		OldestUs:   uint64(max(0, t.MaxAge.Microseconds())),
		YoungestUs: uint64(max(0, t.MinAge.Microseconds())),
	}
}

func decodeSlot(pb *linkpb.Slot) replication.TransferredSlot {
	return replication.TransferredSlot{
		Slot: replication.Slot{
			Writer:    replication.Incarnation{Name: pb.GetWriter(), Number: pb.GetLife()},
			Seq:       pb.GetSeq(),
			Kind:      replication.Kind(pb.GetKind()),
			Key:       pb.GetKey(),
			Value:     pb.GetValue(),
			Timestamp: pb.GetStamp(),
		},
		MaxAge: decodeAge(pb.GetOldestUs()),
		MinAge: decodeAge(pb.GetYoungestUs()),
	}
}

func decodeAge(micros uint64) time.Duration {
	return time.Duration(min(maxAgeMicros, micros)) * time.Microsecond
}
