package consensus

import "cmp"

// Ballot orders attempts to change the value: by number, and between equal numbers by the name of the proposing voter.
type Ballot struct {
	Number uint64
	Voter  string
}

// Less reports whether b is older than o.
func (b Ballot) Less(o Ballot) bool {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Voter, o.Voter)) < 0
}
