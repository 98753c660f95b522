package warmstart

import (
	"errors"
	"testing"
	"time"
)

func TestValidate(t *testing.T) {
	s := Snapshot{Made: time.Hour * 1000, Gateway: "n1", Settings: "x"}
	for _, c := range []struct {
		now      time.Duration
		gateway  string
		settings string
		want     error
	}{{s.Made + time.Minute, "n1", "x", nil}, {s.Made - time.Second, "n1", "x", nil}, {s.Made - time.Minute, "n1", "x", ErrFromFuture},
		{s.Made + 25*time.Hour, "n1", "x", ErrExpired}, {s.Made, "n2", "x", ErrOtherGateway}, {s.Made, "n1", "y", ErrOtherSettings}} {
		if err := s.Validate(c.now, c.gateway, c.settings); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
