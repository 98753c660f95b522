package clusternode

import (
	"testing"

	"larchusher/internal/snapshot"
	"larchusher/lab/golden"
)

// What a gateway shows of its copy goes to tools of other versions. The file was written by 1a818d3.
func TestEncodedFormsAreThoseOf1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/shown.json", &SharedState{})
	golden.JSON(t, "testdata/1a818d3/forget.json", &ForgetRequest{})
}

func TestEncodedTypesNameTheirFields(t *testing.T) {
	golden.Tagged(t, SharedState{})
	golden.Tagged(t, ForgetRequest{})
}

// Votes and views of 1a818d3 are read, whatever the files are called by.
func TestFilesOf1a818d3AreRead(t *testing.T) {
	key := []byte("0123456789abcdef")
	for name, want := range map[string]string{"fleet-vote": "a vote", "fleet-view": "a view"} {
		got, err := readFile(snapshot.Folder("testdata/1a818d3"), name, key)
		if err != nil || string(got) != want {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
	if acceptorFile != "fleet-vote" || viewFile != "fleet-view" {
		t.Errorf("the files are %s and %s now", acceptorFile, viewFile)
	}
}
