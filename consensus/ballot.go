package consensus

import "cmp"

// Ballot is the proposal number of a round. Ballots are ordered by Number, and with equal numbers by the name of the
// proposing voter, so that no two voters ever use the same ballot.
type Ballot struct {
	Number uint64
	Voter  string
}

// Less reports whether b is older than o.
func (b Ballot) Less(o Ballot) bool {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Voter, o.Voter)) < 0
}
