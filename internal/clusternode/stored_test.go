package clusternode

import (
	"testing"

	"larchusher/internal/snapshot"
	"larchusher/lab/golden"
)

// The replies to operators' queries are read by tools of other versions. The golden files were written by version 1a818d3.
func TestJSONMatchesVersion1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/shown.json", &SharedState{})
	golden.JSON(t, "testdata/1a818d3/forget.json", &ForgetRequest{})
}

func TestJSONFieldsHaveTags(t *testing.T) {
	golden.Tagged(t, SharedState{})
	golden.Tagged(t, ForgetRequest{})
}

// An upgrade from version 1a818d3 must read its files: both their names and their format stay.
func TestReadsFilesOfVersion1a818d3(t *testing.T) {
	key := []byte("0123456789abcdef")
	for name, want := range map[string]string{"fleet-vote": "a vote", "fleet-view": "a view"} {
		got, err := readFile(snapshot.Folder("testdata/1a818d3"), name, key)
		if err != nil || string(got) != want {
			t.Errorf("%s: read %q, error %v, want the data that version 1a818d3 wrote, and no error", name, got, err)
		}
	}
	if acceptorFile != "fleet-vote" || viewFile != "fleet-view" {
		t.Errorf("the files are named %s and %s, want fleet-vote and fleet-view", acceptorFile, viewFile)
	}
}
