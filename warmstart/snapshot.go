package warmstart

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"larchusher/routing"
)

// Snapshot is all that a gateway has learned at a time. Its JSON form goes to the next process at an upgrade.
type Snapshot struct {
	CreatedAt           time.Duration          `json:"Made"`     // Unix time
	Gateway             string                 `json:"Gateway"`  // name
	SettingsFingerprint string                 `json:"Settings"` // fingerprint of the settings under which it was learned
	JournalPosition     int64                  `json:"Position"` // latest event of the journal that was taken in
	Directors           []routing.LearnedState `json:"Directors"`
}

// maxSnapshotAge is the age up to which a snapshot is valid.
const maxSnapshotAge = 24 * time.Hour

// Why a snapshot is not valid, to be told apart by errors.Is.
var (
	ErrOtherGateway  = errors.New("it is another gateway's")
	ErrOtherSettings = errors.New("it was made under other settings")
	ErrFromFuture    = errors.New("it was made later than now: the clock ran back")
	ErrExpired       = errors.New("it is too old")
)

// Validate reports why a snapshot is not valid for a gateway under a fingerprint of settings; nil: it is. now is Unix time.
func (s *Snapshot) Validate(now time.Duration, gateway, settings string) error {
	age := now - s.CreatedAt
	switch {
	case s.Gateway != gateway:
		return fmt.Errorf("%w: %q, and this is %q", ErrOtherGateway, s.Gateway, gateway)
	case s.SettingsFingerprint != settings:
		return ErrOtherSettings
	case age < -maxClockSkew:
		return fmt.Errorf("%w, by %v", ErrFromFuture, -age)
	case age > maxSnapshotAge:
		return fmt.Errorf("%w: %v", ErrExpired, age.Round(time.Second))
	}
	return nil
}

// ImportReport is what became of a snapshot.
type ImportReport struct {
	Age                  time.Duration
	ValidationErr        error // why nothing of it was used; nil: it was valid
	routing.ImportCounts       // of what was used and what was not
}

// Import has directors take in what a snapshot holds for them, by the names of their zones. now is Unix time.
func (s *Snapshot) Import(now time.Duration, gateway, settings string, directors map[string]*routing.Director) ImportReport {
	r := ImportReport{Age: now - s.CreatedAt, ValidationErr: s.Validate(now, gateway, settings)}
	if r.ValidationErr != nil {
		return r
	}
	for _, m := range s.Directors {
		if d := directors[m.Zone]; d != nil {
			r.add(d.Import(now, m, ConfidenceAt))
		} else {
			r.Invalid += len(m.Listings) + len(m.Endpoints)
		}
	}
	return r
}

// add adds the counts of one director.
func (r *ImportReport) add(c routing.ImportCounts) {
	r.Listings += c.Listings
	r.Endpoints += c.Endpoints
	r.Purges += c.Purges
	r.Gone += c.Gone
	r.Restarted += c.Restarted
	r.WarmingUp += c.WarmingUp
	r.Expired += c.Expired
	r.Invalid += c.Invalid
}

// String returns the report in one line.
func (r ImportReport) String() string {
	if r.ValidationErr != nil {
		return "void: " + r.ValidationErr.Error()
	}
	parts := []string{fmt.Sprintf("%v old: %d listings, %d servers, %d purges used", r.Age.Round(time.Millisecond), r.Listings, r.Endpoints, r.Purges)}
	for _, dropped := range []struct {
		n    int
		what string
	}{
		{r.Expired, "aged"},
		{r.Gone, "of servers that are gone"},
		{r.Restarted, "of servers that restarted"},
		{r.WarmingUp, "of cold servers"},
		{r.Invalid, "odd"},
	} {
		if dropped.n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", dropped.n, dropped.what))
		}
	}
	return strings.Join(parts, ", ")
}
