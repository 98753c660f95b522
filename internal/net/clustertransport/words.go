package clustertransport

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"larchusher/cluster"
	"larchusher/consensus"
	"larchusher/internal/net/clustertransport/linkpb"
	"larchusher/maintenance"
	"larchusher/replication"
)

// The form of messages: what package cluster deals in, and back.

func ballotOut(b consensus.Ballot) *linkpb.Ballot {
	if b == (consensus.Ballot{}) {
		return nil
	}
	return &linkpb.Ballot{Number: b.Number, Voter: b.Voter}
}

func ballotIn(b *linkpb.Ballot) consensus.Ballot {
	return consensus.Ballot{Number: b.GetNumber(), Voter: b.GetVoter()}
}

func stateOut(s consensus.State) *linkpb.State {
	return &linkpb.State{Revision: s.Revision, Lives: s.Lives, Value: s.Value}
}

func stateIn(s *linkpb.State) consensus.State {
	return consensus.State{Revision: s.GetRevision(), Lives: s.GetLives(), Value: s.GetValue()}
}

func out(m cluster.Message) *linkpb.Message {
	pb := &linkpb.Message{Kind: int32(m.Kind), Id: m.ID, Life: m.Life, Blank: m.Blank, Have: m.Have, Revision: m.Revision, Heard: m.Heard, Stopped: m.Stopped,
		Value: m.Value, HasValue: m.Value != nil, Query: m.Query, Refused: m.Refused}
	if m.Kind == cluster.Vote {
		v := m.Vote
		pb.Vote = &linkpb.Vote{Kind: int32(v.Kind), Life: v.Life, Ballot: ballotOut(v.Ballot), Next: ballotOut(v.Next), Accepted: ballotOut(v.Accepted), State: stateOut(v.State)}
	}
	if m.Copy != nil {
		pb.Copy = copyOut(m.Copy)
	}
	if m.Report != nil {
		pb.Report = &linkpb.Report{Strain: m.Report.Strain}
		for _, name := range slices.Sorted(maps.Keys(m.Report.Machines)) {
			x := m.Report.Machines[name]
			pb.Report.Machine = append(pb.Report.Machine, &linkpb.Machine{Name: name, Kind: x.Kind, Zone: x.Zone, Up: x.Up, Warm: x.Warm, BootMs: x.BootMs, Weight: x.Weight, Busy: x.Busy})
		}
	}
	return pb
}

func in(pb *linkpb.Message) cluster.Message {
	m := cluster.Message{Kind: cluster.Kind(pb.GetKind()), ID: pb.GetId(), Life: pb.GetLife(), Blank: pb.GetBlank(), Have: pb.GetHave(), Revision: pb.GetRevision(),
		Heard: pb.GetHeard(), Stopped: pb.GetStopped(), Value: pb.GetValue(), Query: pb.GetQuery(), Refused: pb.GetRefused()}
	if pb.GetHasValue() && m.Value == nil {
		m.Value = []byte{}
	}
	if v := pb.GetVote(); v != nil {
		m.Vote = consensus.Message{Kind: consensus.Kind(v.GetKind()), Life: v.GetLife(), Ballot: ballotIn(v.GetBallot()), Next: ballotIn(v.GetNext()),
			Accepted: ballotIn(v.GetAccepted()), State: stateIn(v.GetState())}
		if v.GetPrior() != nil { // of a version whose further values nobody had promised: it has to prepare them
			m.Vote.Kind = 0
		}
	}
	if c := pb.GetCopy(); c != nil {
		m.Copy = copyIn(c)
	}
	if r := pb.GetReport(); r != nil {
		m.Report = &cluster.Report{Strain: r.GetStrain(), Machines: map[string]maintenance.Machine{}}
		for _, x := range r.GetMachine() {
			m.Report.Machines[x.GetName()] = maintenance.Machine{Kind: x.GetKind(), Zone: x.GetZone(), Up: x.GetUp(), Warm: x.GetWarm(), BootMs: x.GetBootMs(),
				Weight: x.GetWeight(), Busy: x.GetBusy()}
		}
	}
	return m
}

func copyOut(m *replication.Message) *linkpb.Copy {
	pb := &linkpb.Copy{Kind: int32(m.Kind), Id: m.ID, Most: int32(m.Most), More: m.More, Blank: m.Blank}
	for _, h := range m.Have {
		pb.Have = append(pb.Have, &linkpb.Have{Name: h.Life.Name, Life: h.Life.Number, Safety: h.UpTo[replication.Safety], Bulk: h.UpTo[replication.Bulk]})
	}
	for _, w := range m.Slots {
		s := w.Slot
		pb.Slot = append(pb.Slot, &linkpb.Slot{Writer: s.Writer.Name, Life: s.Writer.Number, Seq: s.Seq, Kind: uint32(s.Kind), Key: s.Key, Value: s.Value, Stamp: s.Stamp,
			OldestUs: uint64(max(0, w.Oldest.Microseconds())), YoungestUs: uint64(max(0, w.Youngest.Microseconds()))})
	}
	if b := m.Block; b != nil {
		pb.Block = &linkpb.Block{Name: b.Life.Name, Life: b.Life.Number, Stream: int32(b.Stream), From: b.From, To: b.To, Sum: b.Sum}
	}
	return pb
}

// oldest is the greatest age that a slot can be told to have, so that no number overflows.
const oldest = uint64(24 * time.Hour / time.Microsecond)

func copyIn(pb *linkpb.Copy) *replication.Message {
	m := &replication.Message{Kind: replication.MessageKind(pb.GetKind()), ID: pb.GetId(), Most: int(pb.GetMost()), More: pb.GetMore(), Blank: pb.GetBlank()}
	for _, h := range pb.GetHave() {
		m.Have = append(m.Have, replication.Have{Life: replication.Life{Name: h.GetName(), Number: h.GetLife()}, UpTo: [2]uint64{h.GetSafety(), h.GetBulk()}})
	}
	for _, s := range pb.GetSlot() {
		m.Slots = append(m.Slots, replication.Wire{Slot: replication.Slot{Writer: replication.Life{Name: s.GetWriter(), Number: s.GetLife()}, Seq: s.GetSeq(), Kind: replication.Kind(s.GetKind()), Key: s.GetKey(),
			Value: s.GetValue(), Stamp: s.GetStamp()}, Oldest: time.Duration(min(oldest, s.GetOldestUs())) * time.Microsecond, Youngest: time.Duration(min(oldest, s.GetYoungestUs())) * time.Microsecond})
	}
	if b := pb.GetBlock(); b != nil {
		m.Block = &replication.Block{Life: replication.Life{Name: b.GetName(), Number: b.GetLife()}, Stream: replication.Stream(b.GetStream()), From: b.GetFrom(), To: b.GetTo(), Sum: b.GetSum()}
	}
	return m
}

// EncodeVote words a vote for its file, and DecodeVote reads it.
func EncodeVote(v consensus.Vote) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&linkpb.Kept{Life: v.Life, Promised: ballotOut(v.Promised), Accepted: ballotOut(v.Accepted),
		State: stateOut(v.State), Has: v.Has})
	if err != nil {
		return nil, fmt.Errorf("a vote: %w", err)
	}
	return b, nil
}

// DecodeVote reads a vote.
func DecodeVote(b []byte) (consensus.Vote, error) {
	var k linkpb.Kept
	if err := proto.Unmarshal(b, &k); err != nil {
		return consensus.Vote{}, fmt.Errorf("a vote: %w", err)
	}
	if k.GetLife() == 0 {
		return consensus.Vote{}, fmt.Errorf("a vote without a life")
	}
	return consensus.Vote{Life: k.GetLife(), Promised: ballotIn(k.GetPromised()), Accepted: ballotIn(k.GetAccepted()), State: stateIn(k.GetState()), Has: k.GetHas()}, nil
}
