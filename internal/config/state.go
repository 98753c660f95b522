package config

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"larchusher/internal/config/operatorpb"
	"larchusher/warmstart"
)

// State is the configuration of the files in which learned state is saved: the part state of the operator's file.
type State struct {
	Folder           string        // path of the folder, which no other gateway may use
	SnapshotInterval time.Duration // time between two snapshots
	MaxListings      int           // listings of each locality that a snapshot contains at most
	Key              []byte        // key of the MAC that protects snapshots; empty: no MAC
}

const defaultMaxListings = 4096

// readState checks and converts the part state of the operator's file; env looks up environment variables. It returns nil if
// the file has no such part, and learned state is then not saved.
func readState(pb *operatorpb.State, env func(string) string) (*State, error) {
	if pb == nil {
		return nil, nil
	}
	s := &State{Folder: pb.GetFolder(), MaxListings: cmp.Or(int(pb.GetListings()), defaultMaxListings)}
	if s.Folder == "" {
		return nil, newKeyError("state.folder", errors.New("key is missing or empty, want the path of a folder"))
	}
	if s.MaxListings < 0 || s.MaxListings > 1<<20 {
		return nil, newKeyError("state.listings", fmt.Errorf("%d is out of range, want 1 to %d", s.MaxListings, 1<<20))
	}
	var err error
	if s.SnapshotInterval, err = parseDuration("state.every", pb.GetEvery(), warmstart.DefaultSaveInterval, 100*time.Millisecond, time.Hour); err != nil {
		return nil, err
	}
	if name := pb.GetKeyEnv(); name != "" {
		text := env(name)
		if text == "" {
			return nil, newKeyError("state.key_env", fmt.Errorf("environment variable %s is not set", name))
		}
		if s.Key, err = hex.DecodeString(text); err != nil || len(s.Key) < 16 {
			return nil, newKeyError("state.key_env", fmt.Errorf("environment variable %s does not contain a key of at least 16 bytes in hex", name))
		}
	}
	return s, nil
}
