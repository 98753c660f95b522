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

func encodeBallot(b consensus.Ballot) *linkpb.Ballot {
	if b == (consensus.Ballot{}) {
		return nil
	}
	return &linkpb.Ballot{Number: b.Number, Voter: b.Voter}
}

func decodeBallot(b *linkpb.Ballot) consensus.Ballot {
	return consensus.Ballot{Number: b.GetNumber(), Voter: b.GetVoter()}
}

func encodeState(s consensus.State) *linkpb.State {
	return &linkpb.State{Revision: s.Revision, Lives: s.Incarnations, Value: s.Value}
}

func decodeState(s *linkpb.State) consensus.State {
	return consensus.State{Revision: s.GetRevision(), Incarnations: s.GetLives(), Value: s.GetValue()}
}

func encodeMessage(m cluster.Message) *linkpb.Message {
	pb := &linkpb.Message{Kind: int32(m.Kind), Id: m.ID, Life: m.Incarnation, Blank: m.NoView, Have: m.ViewDigest, Revision: m.Revision, Heard: m.NotifiedEpoch, Stopped: m.StoppedEpoch,
		Value: m.Value, HasValue: m.Value != nil, Query: m.Query, Refused: m.Rejected}
	if m.Kind == cluster.ConsensusMessage {
		v := m.Consensus
		pb.Vote = &linkpb.Vote{Kind: int32(v.Kind), Life: v.Incarnation, Ballot: encodeBallot(v.Ballot), Next: encodeBallot(v.NextBallot), Accepted: encodeBallot(v.AcceptedBallot), State: encodeState(v.State)}
	}
	if m.Replication != nil {
		pb.Copy = encodeReplication(m.Replication)
	}
	if m.Report != nil {
		pb.Report = &linkpb.Report{Strain: m.Report.Pressure}
		for _, name := range slices.Sorted(maps.Keys(m.Report.Machines)) {
			x := m.Report.Machines[name]
			pb.Report.Machine = append(pb.Report.Machine, &linkpb.Machine{Name: name, Kind: x.Kind, Zone: x.Zone, Up: x.Up, Warm: x.Warm, BootMs: x.BootMs, Weight: x.Weight, Busy: x.Utilization})
		}
	}
	return pb
}

func decodeMessage(pb *linkpb.Message) cluster.Message {
	m := cluster.Message{Kind: cluster.MessageKind(pb.GetKind()), ID: pb.GetId(), Incarnation: pb.GetLife(), NoView: pb.GetBlank(), ViewDigest: pb.GetHave(), Revision: pb.GetRevision(),
		NotifiedEpoch: pb.GetHeard(), StoppedEpoch: pb.GetStopped(), Value: pb.GetValue(), Query: pb.GetQuery(), Rejected: pb.GetRefused()}
	if pb.GetHasValue() && m.Value == nil {
		m.Value = []byte{}
	}
	if v := pb.GetVote(); v != nil {
		m.Consensus = consensus.Message{Kind: consensus.MessageKind(v.GetKind()), Incarnation: v.GetLife(), Ballot: decodeBallot(v.GetBallot()), NextBallot: decodeBallot(v.GetNext()),
			AcceptedBallot: decodeBallot(v.GetAccepted()), State: decodeState(v.GetState())}
		if v.GetPrior() != nil { // of a version whose further values nobody had promised: it has to prepare them
			m.Consensus.Kind = 0
		}
	}
	if c := pb.GetCopy(); c != nil {
		m.Replication = decodeReplication(c)
	}
	if r := pb.GetReport(); r != nil {
		m.Report = &cluster.Report{Pressure: r.GetStrain(), Machines: map[string]maintenance.Machine{}}
		for _, x := range r.GetMachine() {
			m.Report.Machines[x.GetName()] = maintenance.Machine{Kind: x.GetKind(), Zone: x.GetZone(), Up: x.GetUp(), Warm: x.GetWarm(), BootMs: x.GetBootMs(),
				Weight: x.GetWeight(), Utilization: x.GetBusy()}
		}
	}
	return m
}

func encodeReplication(m *replication.Message) *linkpb.Copy {
	pb := &linkpb.Copy{Kind: int32(m.Kind), Id: m.ID, Most: int32(m.MaxBytes), More: m.More, Blank: m.CatchingUp}
	for _, h := range m.Versions {
		pb.Have = append(pb.Have, &linkpb.Have{Name: h.Incarnation.Name, Life: h.Incarnation.Number, Safety: h.UpTo[replication.Safety], Bulk: h.UpTo[replication.Bulk]})
	}
	for _, w := range m.Slots {
		s := w.Slot
		pb.Slot = append(pb.Slot, &linkpb.Slot{Writer: s.Writer.Name, Life: s.Writer.Number, Seq: s.Seq, Kind: uint32(s.Kind), Key: s.Key, Value: s.Value, Stamp: s.Timestamp,
			OldestUs: uint64(max(0, w.MaxAge.Microseconds())), YoungestUs: uint64(max(0, w.MinAge.Microseconds()))})
	}
	if b := m.Checksum; b != nil {
		pb.Block = &linkpb.Block{Name: b.Incarnation.Name, Life: b.Incarnation.Number, Stream: int32(b.Stream), From: b.From, To: b.To, Sum: b.Sum}
	}
	return pb
}

// maxAgeMicros is the greatest age that a slot can be told to have, so that no number overflows.
const maxAgeMicros = uint64(24 * time.Hour / time.Microsecond)

func decodeReplication(pb *linkpb.Copy) *replication.Message {
	m := &replication.Message{Kind: replication.MessageKind(pb.GetKind()), ID: pb.GetId(), MaxBytes: int(pb.GetMost()), More: pb.GetMore(), CatchingUp: pb.GetBlank()}
	for _, h := range pb.GetHave() {
		m.Versions = append(m.Versions, replication.StreamVersions{Incarnation: replication.Incarnation{Name: h.GetName(), Number: h.GetLife()}, UpTo: [2]uint64{h.GetSafety(), h.GetBulk()}})
	}
	for _, s := range pb.GetSlot() {
		m.Slots = append(m.Slots, replication.TransferredSlot{Slot: replication.Slot{Writer: replication.Incarnation{Name: s.GetWriter(), Number: s.GetLife()}, Seq: s.GetSeq(), Kind: replication.Kind(s.GetKind()), Key: s.GetKey(),
			Value: s.GetValue(), Timestamp: s.GetStamp()}, MaxAge: time.Duration(min(maxAgeMicros, s.GetOldestUs())) * time.Microsecond, MinAge: time.Duration(min(maxAgeMicros, s.GetYoungestUs())) * time.Microsecond})
	}
	if b := pb.GetBlock(); b != nil {
		m.Checksum = &replication.RangeChecksum{Incarnation: replication.Incarnation{Name: b.GetName(), Number: b.GetLife()}, Stream: replication.Stream(b.GetStream()), From: b.GetFrom(), To: b.GetTo(), Sum: b.GetSum()}
	}
	return m
}

// EncodeAcceptorState words a vote for its file, and DecodeVote reads it.
func EncodeAcceptorState(v consensus.AcceptorState) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&linkpb.Kept{Life: v.Incarnation, Promised: encodeBallot(v.Promised), Accepted: encodeBallot(v.Accepted),
		State: encodeState(v.State), Has: v.Initialized})
	if err != nil {
		return nil, fmt.Errorf("a vote: %w", err)
	}
	return b, nil
}

// DecodeAcceptorState reads a vote.
func DecodeAcceptorState(b []byte) (consensus.AcceptorState, error) {
	var k linkpb.Kept
	if err := proto.Unmarshal(b, &k); err != nil {
		return consensus.AcceptorState{}, fmt.Errorf("a vote: %w", err)
	}
	if k.GetLife() == 0 {
		return consensus.AcceptorState{}, fmt.Errorf("a vote without a life")
	}
	return consensus.AcceptorState{Incarnation: k.GetLife(), Promised: decodeBallot(k.GetPromised()), Accepted: decodeBallot(k.GetAccepted()), State: decodeState(k.GetState()), Initialized: k.GetHas()}, nil
}
