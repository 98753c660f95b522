package warmstart

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"larchusher/routing"
)

// Snapshot is the state that a gateway has learned, as of one time. In a hot restart it is sent to the successor as JSON.
type Snapshot struct {
	CreatedAt           time.Duration          `json:"Made"`     // Unix time at which it was taken
	Gateway             string                 `json:"Gateway"`  // name of the gateway
	SettingsFingerprint string                 `json:"Settings"` // fingerprint of the settings under which the state was learned
	JournalPosition     int64                  `json:"Position"` // position in the journal of the latest event that it includes
	Directors           []routing.LearnedState `json:"Directors"`
}

// maxSnapshotAge is the maximum age of a valid snapshot.
const maxSnapshotAge = 24 * time.Hour

// Reasons why a snapshot is invalid; match them with errors.Is.
var (
	ErrOtherGateway  = errors.New("snapshot is of another gateway")
	ErrOtherSettings = errors.New("snapshot was taken under other settings")
	ErrFromFuture    = errors.New("snapshot is dated in the future, the clock was set back")
	ErrExpired       = errors.New("snapshot is older than 24h")
)

// Validate returns nil if the snapshot may be used by the named gateway under the settings with the given fingerprint,
// or an error that wraps one of the errors above. now is Unix time.
func (s *Snapshot) Validate(now time.Duration, gateway, settings string) error {
	age := now - s.CreatedAt
	switch {
	case s.Gateway != gateway:
		return fmt.Errorf("%w: %q, want %q", ErrOtherGateway, s.Gateway, gateway)
	case s.SettingsFingerprint != settings:
		return ErrOtherSettings
	case age < -maxClockSkew:
		return fmt.Errorf("%w by %v", ErrFromFuture, -age)
	case age > maxSnapshotAge:
		return fmt.Errorf("%w: its age is %v", ErrExpired, age.Round(time.Second))
	}
	return nil
}

// ImportReport reports how much of a snapshot was imported.
type ImportReport struct {
	Age                  time.Duration
	ValidationErr        error // why the snapshot was invalid and nothing was imported; nil: it was valid
	routing.ImportCounts       // numbers of items imported, and of items dropped for each reason
}

// Import validates the snapshot and imports its learned state into the directors, given by the names of their zones.
// State of a zone without a director is counted as invalid. now is Unix time. Import must be called on the goroutine of
// the directors.
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

// add adds the counts of one director to the totals.
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

// String formats the report as one line for the log.
func (r ImportReport) String() string {
	if r.ValidationErr != nil {
		return "nothing imported: " + r.ValidationErr.Error()
	}
	parts := []string{fmt.Sprintf("age %v: imported %d listings, health of %d endpoints, %d purges", r.Age.Round(time.Millisecond), r.Listings, r.Endpoints, r.Purges)}
	for _, dropped := range []struct {
		n    int
		what string
	}{
		{r.Expired, "aged"},
		{r.Gone, "of removed endpoints"},
		{r.Restarted, "of restarted endpoints"},
		{r.WarmingUp, "of endpoints that are warming up"},
		{r.Invalid, "odd"},
	} {
		if dropped.n > 0 {
			parts = append(parts, fmt.Sprintf("dropped %d %s", dropped.n, dropped.what))
		}
	}
	return strings.Join(parts, ", ")
}
