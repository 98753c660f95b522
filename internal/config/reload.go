package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"larchusher/routing"
)

// keySet is the set of keys that a configuration file contains. A reload must not drop a key: a truncated file may still be
// valid JSON, and defaults would silently replace the values that it lacks.
type keySet struct {
	keys      []string // sorted; the key of a nested object is its path, such as "settings.limits.sendCap"
	classKeys []string // sorted keys that every element of settings.classes has
}

// Keys that a configuration may leave out, by the protocol: a file without one is complete, whatever earlier files had.
var (
	optionalKeys      = []string{"settings.prices.fleet"}
	optionalClassKeys = []string{"aimStretch"}
)

// classListKey is the key of the list of classes, whose elements a reload may add or remove.
const classListKey = "settings.classes"

// readKeys returns the keys of a configuration file in JSON.
func readKeys(data []byte) (set keySet, err error) {
	var root map[string]any
	if err := json.Unmarshal(data, &root); err != nil {
		return set, err
	}
	set.add("", root)
	slices.Sort(set.keys)
	settings, _ := root["settings"].(map[string]any)
	classes, _ := settings["classes"].([]any)
	for i, c := range classes {
		fields, _ := c.(map[string]any)
		if i == 0 {
			for name := range fields {
				set.classKeys = append(set.classKeys, name)
			}
			slices.Sort(set.classKeys)
			continue
		}
		set.classKeys = slices.DeleteFunc(set.classKeys, func(name string) bool { _, present := fields[name]; return !present })
	}
	return set, nil
}

// add appends the keys of an object and of the objects in it, unsorted. path is the prefix of the object's keys.
func (s *keySet) add(path string, object map[string]any) {
	for name, value := range object {
		key := path + name
		s.keys = append(s.keys, key)
		if inner, ok := value.(map[string]any); ok {
			s.add(key+".", inner)
		}
	}
}

// missingKey returns the first key of s that a newer configuration must have and lacks, or "".
func (s keySet) missingKey(newer keySet) string {
	for _, key := range s.keys {
		if _, found := slices.BinarySearch(newer.keys, key); !found && !mayBeMissing(key) {
			return key
		}
	}
	return ""
}

// mayBeMissing reports whether a newer configuration may lack a key outside the list of classes. The endpoint list (key known)
// may be missing: discovery keeps it current while the program runs.
func mayBeMissing(key string) bool {
	return key == "known" || strings.HasPrefix(key, "known.") || slices.Contains(optionalKeys, key)
}

// missingClassKey does for the elements of the list of classes what missingKey does for other keys. The key that it returns
// has the form settings.classes[].NAME.
func (s keySet) missingClassKey(newer keySet) string {
	for _, name := range s.classKeys {
		if !slices.Contains(newer.classKeys, name) && !slices.Contains(optionalClassKeys, name) {
			return classListKey + "[]." + name
		}
	}
	return ""
}

// CheckReload returns an error that names the key if a newer configuration must not replace c while the program runs. It is
// stricter than Parse: every key of c must be present unless it is optional, the limit on attempts and the deadlines of classes must be
// positive, and no other number of a class may be negative.
func (c *Gateway) CheckReload(newer *Gateway) error {
	if key := c.keys.missingKey(newer.keys); key != "" {
		return missingKeyError(key)
	}
	if newer.Settings.MaxAttempts <= 0 {
		return fmt.Errorf("settings.limits.sendCap: %d attempts allowed for a request, want at least 1", newer.Settings.MaxAttempts)
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
			return fmt.Errorf("settings.classes[%d].hardLimitMs: deadline %v of class %s is not positive", i, k.Deadline, k.Name)
		case k.LatencyObjective < 0 || k.ObjectiveStretch < 0 || k.PriorityWeight < 0 || k.DedupWindow < 0:
			return fmt.Errorf("settings.classes[%d]: the latency objective, its stretch, the priority weight or the repeat window of class %s is negative", i, k.Name)
		}
	}
	return nil
}

// missingKeyError returns the error of CheckReload about a key that the newer configuration lacks.
func missingKeyError(key string) error {
	return fmt.Errorf("%s: key is missing, but the configuration in use has it", key)
}

// ChangedRestartKeys returns the keys whose values differ in a newer configuration and take effect only at a start. It leaves
// out what a reload applies (the journal's address, the classes and the limit on attempts) and the endpoint list, which
// discovery keeps current.
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

// restartSettings returns the settings without those that a reload applies.
func restartSettings(s routing.Settings) routing.Settings {
	s.Classes, s.MaxAttempts = nil, 0
	return s
}
