package config

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

// completeSettings returns the settings of a deployment in which each class has every key of the protocol, with the optional ones.
func completeSettings(t *testing.T) map[string]any {
	t.Helper()
	raw, err := os.ReadFile(repoRoot + "/deploy/sites/harbor-films.settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]any
	if err := json.Unmarshal(raw, &settings); err != nil {
		t.Fatal(err)
	}
	settings["prices"].(map[string]any)["fleet"] = 0.1
	for _, class := range settings["classes"].([]any) {
		class.(map[string]any)["aimStretch"] = 2
	}
	return settings
}

// parseWithSettings parses a configuration with the given settings.
func parseWithSettings(t *testing.T, settings map[string]any) (*Gateway, error) {
	t.Helper()
	data, err := json.Marshal(map[string]any{"listen": "127.0.0.1:1", "journal": "127.0.0.1:2", "settings": settings})
	if err != nil {
		t.Fatal(err)
	}
	return Parse(data, Overrides{})
}

// checkReloadWithout reloads settings from which remove has taken something, and returns why the reload is rejected; nil: it is not.
func checkReloadWithout(t *testing.T, remove func(settings map[string]any)) error {
	t.Helper()
	inUse, err := parseWithSettings(t, completeSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	settings := completeSettings(t)
	remove(settings)
	newer, err := parseWithSettings(t, settings)
	if err != nil {
		return err
	}
	return inUse.CheckReload(newer)
}

// Guards against reloads that are rejected because one class, or all of the settings, have left out a key that the protocol lets them
// leave out, and against reloads of truncated files: without any other key a file is rejected, with an error that names the key.
func TestReloadMayLeaveOutOptionalKeysOnly(t *testing.T) {
	optional := []string{"prices.fleet", "aimStretch"}
	check := func(key string, err error) {
		t.Helper()
		name := key[strings.LastIndex(key, ".")+1:]
		switch {
		case slices.Contains(optional, key) && err != nil:
			t.Errorf("reload without the optional key %s: error %v, want none", key, err)
		case !slices.Contains(optional, key) && err == nil:
			t.Errorf("reload without the key %s is accepted, want an error", key)
		case err != nil && !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(name)):
			t.Errorf("reload without the key %s: error %v does not name it", key, err)
		}
	}
	settings := completeSettings(t)
	for _, key := range slices.Sorted(maps.Keys(settings)) {
		check(key, checkReloadWithout(t, func(s map[string]any) { delete(s, key) }))
		inner, _ := settings[key].(map[string]any)
		for _, name := range slices.Sorted(maps.Keys(inner)) {
			check(key+"."+name, checkReloadWithout(t, func(s map[string]any) { delete(s[key].(map[string]any), name) }))
		}
	}
	for i, class := range settings["classes"].([]any) {
		for _, name := range slices.Sorted(maps.Keys(class.(map[string]any))) {
			check(name, checkReloadWithout(t, func(s map[string]any) { delete(s["classes"].([]any)[i].(map[string]any), name) }))
		}
	}
}
