package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"larchusher/routing"
)

// keySet is which keys a configuration has. A reload must not lose one: a file that was cut short may still be valid JSON,
// and what it lacks would silently become a default.
type keySet struct {
	keys    []string // of objects within objects, as paths with dots between names
	classes []string // that each element of settings.classes has
}

// classesKey is the list whose elements come and go.
const classesKey = "settings.classes"

// keysOf reads which keys a configuration has.
func keysOf(data []byte) (l keySet, err error) {
	var root map[string]any
	if err := json.Unmarshal(data, &root); err != nil {
		return l, err
	}
	l.add("", root)
	slices.Sort(l.keys)
	settings, _ := root["settings"].(map[string]any)
	classes, _ := settings["classes"].([]any)
	for i, c := range classes {
		fields, _ := c.(map[string]any)
		if i == 0 {
			for name := range fields {
				l.classes = append(l.classes, name)
			}
			slices.Sort(l.classes)
			continue
		}
		l.classes = slices.DeleteFunc(l.classes, func(name string) bool { _, has := fields[name]; return !has })
	}
	return l, nil
}

// add notes the keys of an object.
func (l *keySet) add(path string, object map[string]any) {
	for name, value := range object {
		key := path + name
		l.keys = append(l.keys, key)
		if inner, ok := value.(map[string]any); ok {
			l.add(key+".", inner)
		}
	}
}

// missingKey names the first key that a newer configuration lacks; empty: none. The endpoint list may be missing: its feed
// sends it again.
func (l keySet) missingKey(newer keySet) string {
	for _, key := range l.keys {
		if _, found := slices.BinarySearch(newer.keys, key); !found && key != "known" && !strings.HasPrefix(key, "known.") {
			return key
		}
	}
	return ""
}

// missingClassKey is lost for the elements of the list of classes.
func (l keySet) missingClassKey(newer keySet) string {
	for _, name := range l.classes {
		if !slices.Contains(newer.classes, name) {
			return classesKey + "[]." + name
		}
	}
	return ""
}

// CheckReload is why a newer configuration must not replace c while the program runs; nil: it may. It is stricter than a
// start: every key that c has must be there, and the limits of each request must be positive.
func (c *Gateway) CheckReload(newer *Gateway) error {
	if key := c.keys.missingKey(newer.keys); key != "" {
		return missingKeyError(key)
	}
	if newer.Settings.MaxAttempts <= 0 {
		return fmt.Errorf("settings.limits.sendCap: %d is not positive", newer.Settings.MaxAttempts)
	}
	if err := routing.CheckClasses(newer.Settings.Classes); err != nil {
		return err
	}
	if key := c.keys.missingClassKey(newer.keys); key != "" {
		return missingKeyError(key)
	}
	for i, k := range newer.Settings.Classes {
		switch {
		case k.Deadline <= 0:
			return fmt.Errorf("settings.classes[%d].hardLimitMs: %v of class %s is not positive", i, k.Deadline, k.Name)
		case k.LatencyObjective < 0 || k.ObjectiveStretch < 0 || k.PriorityWeight < 0 || k.DedupWindow < 0:
			return fmt.Errorf("settings.classes[%d]: a figure of class %s is negative", i, k.Name)
		}
	}
	return nil
}

func missingKeyError(key string) error {
	return fmt.Errorf("%s: missing, and the configuration in use has it", key)
}

// ChangedRestartKeys names the keys in which a newer configuration differs that are taken in at the start only. The address
// of the endpoint list's feed, the classes and the limit on attempts are taken in by a reload, and the endpoint list itself
// comes with the feed.
func (c *Gateway) ChangedRestartKeys(newer *Gateway) (keys []string) {
	for _, k := range [...]struct {
		key      string
		old, new any
	}{{"name", c.Name, newer.Name}, {"listen", c.Listen, newer.Listen}, {"console", c.AdminListen, newer.AdminListen}, {"limits", c.Limits, newer.Limits},
		{"peer_listen", c.PeerListen, newer.PeerListen}, {"peers", c.Peers, newer.Peers},
		{"peers_all", c.PeersAll, newer.PeersAll}, {"seed", c.SeedText, newer.SeedText},
		{"settings", []any{restartSettings(c.Settings), c.Sockets}, []any{restartSettings(newer.Settings), newer.Sockets}}} {
		if !reflect.DeepEqual(k.old, k.new) {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// restartSettings is the part of the settings that is taken in at the start only.
func restartSettings(s routing.Settings) routing.Settings {
	s.Classes, s.MaxAttempts = nil, 0
	return s
}
