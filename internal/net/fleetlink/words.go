package fleetlink

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"larchusher/agreement"
	"larchusher/fleet"
	"larchusher/internal/net/fleetlink/linkpb"
	"larchusher/work"
)

// The form of messages: what package fleet deals in, and back.

func ballotOut(b agreement.Ballot) *linkpb.Ballot {
	if b == (agreement.Ballot{}) {
		return nil
	}
	return &linkpb.Ballot{Number: b.Number, Voter: b.Voter}
}

func ballotIn(b *linkpb.Ballot) agreement.Ballot {
	return agreement.Ballot{Number: b.GetNumber(), Voter: b.GetVoter()}
}

func stateOut(s agreement.State) *linkpb.State {
	return &linkpb.State{Revision: s.Revision, Lives: s.Lives, Value: s.Value}
}

func stateIn(s *linkpb.State) agreement.State {
	return agreement.State{Revision: s.GetRevision(), Lives: s.GetLives(), Value: s.GetValue()}
}

func out(m fleet.Message) *linkpb.Message {
	pb := &linkpb.Message{Kind: int32(m.Kind), Id: m.ID, Life: m.Life, Blank: m.Blank, Have: m.Have, Revision: m.Revision, Heard: m.Heard, Stopped: m.Stopped,
		Value: m.Value, HasValue: m.Value != nil, Query: m.Query, Refused: m.Refused}
	if m.Kind == fleet.Vote {
		v := m.Vote
		pb.Vote = &linkpb.Vote{Kind: int32(v.Kind), Life: v.Life, Ballot: ballotOut(v.Ballot), Prior: ballotOut(v.Prior), Accepted: ballotOut(v.Accepted), State: stateOut(v.State)}
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

func in(pb *linkpb.Message) fleet.Message {
	m := fleet.Message{Kind: fleet.Kind(pb.GetKind()), ID: pb.GetId(), Life: pb.GetLife(), Blank: pb.GetBlank(), Have: pb.GetHave(), Revision: pb.GetRevision(),
		Heard: pb.GetHeard(), Stopped: pb.GetStopped(), Value: pb.GetValue(), Query: pb.GetQuery(), Refused: pb.GetRefused()}
	if pb.GetHasValue() && m.Value == nil {
		m.Value = []byte{}
	}
	if v := pb.GetVote(); v != nil {
		m.Vote = agreement.Message{Kind: agreement.Kind(v.GetKind()), Life: v.GetLife(), Ballot: ballotIn(v.GetBallot()), Prior: ballotIn(v.GetPrior()),
			Accepted: ballotIn(v.GetAccepted()), State: stateIn(v.GetState())}
	}
	if r := pb.GetReport(); r != nil {
		m.Report = &fleet.Report{Strain: r.GetStrain(), Machines: map[string]work.Machine{}}
		for _, x := range r.GetMachine() {
			m.Report.Machines[x.GetName()] = work.Machine{Kind: x.GetKind(), Zone: x.GetZone(), Up: x.GetUp(), Warm: x.GetWarm(), BootMs: x.GetBootMs(),
				Weight: x.GetWeight(), Busy: x.GetBusy()}
		}
	}
	return m
}

// EncodeVote words a vote for its file, and DecodeVote reads it.
func EncodeVote(v agreement.Vote) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&linkpb.Kept{Life: v.Life, Promised: ballotOut(v.Promised), Accepted: ballotOut(v.Accepted),
		State: stateOut(v.State), Has: v.Has})
	if err != nil {
		return nil, fmt.Errorf("a vote: %w", err)
	}
	return b, nil
}

// DecodeVote reads a vote.
func DecodeVote(b []byte) (agreement.Vote, error) {
	var k linkpb.Kept
	if err := proto.Unmarshal(b, &k); err != nil {
		return agreement.Vote{}, fmt.Errorf("a vote: %w", err)
	}
	if k.GetLife() == 0 {
		return agreement.Vote{}, fmt.Errorf("a vote without a life")
	}
	return agreement.Vote{Life: k.GetLife(), Promised: ballotIn(k.GetPromised()), Accepted: ballotIn(k.GetAccepted()), State: stateIn(k.GetState()), Has: k.GetHas()}, nil
}
