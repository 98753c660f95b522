package processmemory

import (
	"os"
	"testing"
)

func TestRead(t *testing.T) {
	u, err := Read()
	if err != nil {
		t.Fatal(err)
	}
	if u.Resident < u.Files || u.PeakResident < u.Resident/2 || u.Files <= 0 {
		t.Errorf("resident %d bytes, of which %d of files, at most %d so far; want these in order", u.Resident, u.Files, u.PeakResident)
	}
	if u.GoMapped < u.GoObjects || u.GoObjects <= 0 || u.GoStacks <= 0 {
		t.Errorf("Go runtime: %d bytes mapped, %d of objects, %d of stacks; want at least as much mapped as used", u.GoMapped, u.GoObjects, u.GoStacks)
	}
	if page := int64(os.Getpagesize()); u.Resident%page != 0 {
		t.Errorf("resident %d bytes, want whole pages of %d", u.Resident, page)
	}
}
