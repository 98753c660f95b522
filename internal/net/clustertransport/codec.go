package clustertransport

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"larchusher/cluster"
	"larchusher/consensus"
	"larchusher/internal/net/clustertransport/linkpb"
	"larchusher/maintenance"
)

// Conversions between the messages of packages cluster and consensus and their protobuf form. The protobuf fields keep the names
// of the first version of the format, which differ from those of the Go fields.

func encodeMessage(m cluster.Message) *linkpb.Message {
	pb := &linkpb.Message{
		Kind:     int32(m.Kind),
		Id:       m.ID,
		Life:     m.Incarnation,
		Blank:    m.NoView,
		Have:     m.ViewDigest,
		Revision: m.Revision,
		Heard:    m.NotifiedEpoch,
		Stopped:  m.StoppedEpoch,
		Value:    m.Value,
		HasValue: m.Value != nil,
		Query:    m.Query,
		Refused:  m.Rejected,
	}
	if m.Kind == cluster.ConsensusMessage {
		pb.Vote = encodeConsensus(m.Consensus)
	}
	if m.Replication != nil {
		pb.Copy = encodeReplication(m.Replication)
	}
	if m.Report != nil {
		pb.Report = encodeReport(m.Report)
	}
	return pb
}

func decodeMessage(pb *linkpb.Message) cluster.Message {
	m := cluster.Message{
		Kind:          cluster.MessageKind(pb.GetKind()),
		ID:            pb.GetId(),
		Incarnation:   pb.GetLife(),
		NoView:        pb.GetBlank(),
		ViewDigest:    pb.GetHave(),
		Revision:      pb.GetRevision(),
		NotifiedEpoch: pb.GetHeard(),
		StoppedEpoch:  pb.GetStopped(),
		Value:         pb.GetValue(),
		Query:         pb.GetQuery(),
		Rejected:      pb.GetRefused(),
	}
	if pb.GetHasValue() && m.Value == nil {
		m.Value = []byte{}
	}
	if v := pb.GetVote(); v != nil {
		m.Consensus = decodeConsensus(v)
	}
	if c := pb.GetCopy(); c != nil {
		m.Replication = decodeReplication(c)
	}
	if r := pb.GetReport(); r != nil {
		m.Report = decodeReport(r)
	}
	return m
}

func encodeConsensus(m consensus.Message) *linkpb.Vote {
	return &linkpb.Vote{
		Kind:     int32(m.Kind),
		Life:     m.Incarnation,
		Ballot:   encodeBallot(m.Ballot),
		Next:     encodeBallot(m.NextBallot),
		Accepted: encodeBallot(m.AcceptedBallot),
		State:    encodeState(m.State),
	}
}

func decodeConsensus(pb *linkpb.Vote) consensus.Message {
	m := consensus.Message{
		Kind:           consensus.MessageKind(pb.GetKind()),
		Incarnation:    pb.GetLife(),
		Ballot:         decodeBallot(pb.GetBallot()),
		NextBallot:     decodeBallot(pb.GetNext()),
		AcceptedBallot: decodeBallot(pb.GetAccepted()),
		State:          decodeState(pb.GetState()),
	}
	// A former version sent Accept messages with a Prior ballot, for which no majority had given a promise. Kind 0 is ignored by
	// voters, so that such a proposer has to send a Prepare.
	if pb.GetPrior() != nil {
		m.Kind = 0
	}
	return m
}

func encodeBallot(b consensus.Ballot) *linkpb.Ballot {
	if b == (consensus.Ballot{}) {
		return nil
	}
	return &linkpb.Ballot{Number: b.Number, Voter: b.Voter}
}

func decodeBallot(pb *linkpb.Ballot) consensus.Ballot {
	return consensus.Ballot{Number: pb.GetNumber(), Voter: pb.GetVoter()}
}

func encodeState(s consensus.State) *linkpb.State {
	return &linkpb.State{Revision: s.Revision, Lives: s.Incarnations, Value: s.Value}
}

func decodeState(pb *linkpb.State) consensus.State {
	return consensus.State{Revision: pb.GetRevision(), Incarnations: pb.GetLives(), Value: pb.GetValue()}
}

func encodeReport(r *cluster.Report) *linkpb.Report {
	pb := &linkpb.Report{Strain: r.Pressure}
	for _, name := range slices.Sorted(maps.Keys(r.Machines)) {
		m := r.Machines[name]
		pb.Machine = append(pb.Machine, &linkpb.Machine{Name: name, Kind: m.Kind, Zone: m.Zone, Up: m.Up, Warm: m.Warm, BootMs: m.BootMs,
			Weight: m.Weight, Busy: m.Utilization})
	}
	return pb
}

func decodeReport(pb *linkpb.Report) *cluster.Report {
	r := &cluster.Report{Pressure: pb.GetStrain(), Machines: map[string]maintenance.Machine{}}
	for _, m := range pb.GetMachine() {
		r.Machines[m.GetName()] = maintenance.Machine{Kind: m.GetKind(), Zone: m.GetZone(), Up: m.GetUp(), Warm: m.GetWarm(), BootMs: m.GetBootMs(),
			Weight: m.GetWeight(), Utilization: m.GetBusy()}
	}
	return r
}

// EncodeAcceptorState encodes an acceptor's state for the voter's file.
func EncodeAcceptorState(a consensus.AcceptorState) ([]byte, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&linkpb.Kept{
		Life:     a.Incarnation,
		Promised: encodeBallot(a.Promised),
		Accepted: encodeBallot(a.Accepted),
		State:    encodeState(a.State),
		Has:      a.Initialized,
	})
	if err != nil {
		return nil, fmt.Errorf("encoding the acceptor's state: %w", err)
	}
	return b, nil
}

// DecodeAcceptorState decodes what EncodeAcceptorState has returned. It fails if the bytes can't be decoded or have no incarnation.
func DecodeAcceptorState(b []byte) (consensus.AcceptorState, error) {
	var pb linkpb.Kept
	if err := proto.Unmarshal(b, &pb); err != nil {
		return consensus.AcceptorState{}, fmt.Errorf("decoding the acceptor's state: %w", err)
	}
	if pb.GetLife() == 0 {
		return consensus.AcceptorState{}, errors.New("decoding the acceptor's state: its incarnation is 0")
	}
	return consensus.AcceptorState{
		Incarnation: pb.GetLife(),
		Promised:    decodeBallot(pb.GetPromised()),
		Accepted:    decodeBallot(pb.GetAccepted()),
		State:       decodeState(pb.GetState()),
		Initialized: pb.GetHas(),
	}, nil
}
