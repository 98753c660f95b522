package routing

import (
	"strings"
	"testing"
)

func TestNewNamesInvalidSetting(t *testing.T) {
	for _, c := range []struct {
		want   string
		change func(*Settings)
	}{
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Zone", func(s *Settings) { s.Zone = "nowhere" }},
		{"OriginKind", func(s *Settings) { s.OriginKind = 9 }},
		{"ParentKind", func(s *Settings) { s.ParentKind = 9 }},
	} {
		s := defaultSettings()
		c.change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("want an error that names %s, got %v", c.want, err)
		}
	}
}
