package warmstart

import (
	"errors"
	"testing"
	"time"
)

// A snapshot is only valid for its own gateway and settings, up to its maximum age, and if it is not dated in the
// future by more than the clock skew.
func TestValidate(t *testing.T) {
	s := Snapshot{CreatedAt: time.Hour * 1000, Gateway: "n1", SettingsFingerprint: "x"}
	for _, c := range []struct {
		now      time.Duration
		gateway  string
		settings string
		want     error
	}{{s.CreatedAt + time.Minute, "n1", "x", nil}, {s.CreatedAt - time.Second, "n1", "x", nil}, {s.CreatedAt - time.Minute, "n1", "x", ErrFromFuture},
		{s.CreatedAt + 25*time.Hour, "n1", "x", ErrExpired}, {s.CreatedAt, "n2", "x", ErrOtherGateway}, {s.CreatedAt, "n1", "y", ErrOtherSettings}} {
		if err := s.Validate(c.now, c.gateway, c.settings); !errors.Is(err, c.want) {
			t.Errorf("case %+v: error %v, want the error in the last field of the case", c, err)
		}
	}
}
