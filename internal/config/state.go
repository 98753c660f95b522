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

// State says where learned state is saved.
type State struct {
	Folder           string
	SnapshotInterval time.Duration
	MaxListings      int    // of each locality, at most
	Key              []byte // of a MAC; empty: none
}

const defaultMaxListings = 4096

// readState reads where learned state is saved; nil: nowhere.
func readState(pb *operatorpb.State, env func(string) string) (*State, error) {
	if pb == nil {
		return nil, nil
	}
	s := &State{Folder: pb.GetFolder(), MaxListings: cmp.Or(int(pb.GetListings()), defaultMaxListings)}
	if s.Folder == "" {
		return nil, newKeyError("state.folder", errors.New("it is needed"))
	}
	if s.MaxListings < 0 || s.MaxListings > 1<<20 {
		return nil, newKeyError("state.listings", fmt.Errorf("%d is not from 1 to %d", s.MaxListings, 1<<20))
	}
	var err error
	if s.SnapshotInterval, err = parseDuration("state.every", pb.GetEvery(), warmstart.DefaultSaveInterval, 100*time.Millisecond, time.Hour); err != nil {
		return nil, err
	}
	if name := pb.GetKeyEnv(); name != "" {
		text := env(name)
		if text == "" {
			return nil, newKeyError("state.key_env", fmt.Errorf("%s is not set", name))
		}
		if s.Key, err = hex.DecodeString(text); err != nil || len(s.Key) < 16 {
			return nil, newKeyError("state.key_env", fmt.Errorf("%s is not 16 bytes or more in hex", name))
		}
	}
	return s, nil
}
