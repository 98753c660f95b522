package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"larchusher/internal/config"
	"larchusher/internal/snapshot"
	"larchusher/warmstart"
)

// stateCommand is the sub-command `state`.
type stateCommand struct {
	Show   stateShow   `cmd:"" help:"Show what is kept."`
	Verify stateVerify `cmd:"" help:"Read all files, and end with status 1 if the newest is not whole."`
	Shared stateShared `cmd:"" help:"Show what a gateway knows in common with the others."`
	Diff   stateDiff   `cmd:"" help:"Compare what two gateways know in common; status 1 if it differs."`
	Forget stateForget `cmd:"" help:"Have all gateways forget a thing, for a stated reason."`
	Prune  statePrune  `cmd:"" help:"Remove all but the newest whole file, and what writes left behind that did not end. Only while no gateway runs."`
}

// snapshotFolderFlags are the flags of the sub-commands that read a folder of snapshots.
type snapshotFolderFlags struct {
	operatorFile
	Folder string `help:"The folder, in place of that of the operator's file." placeholder:"DIR"`
	JSON   bool   `name:"json" help:"Print JSON, one value a line."`
}

// openStore returns the store of snapshots in the folder of the flag --folder, or else in that of the operator's file, and the
// folder's path. The key of the MAC comes from the operator's file.
func (f *snapshotFolderFlags) openStore() (*snapshot.Store, string, error) {
	folder, key := f.Folder, []byte(nil)
	if f.Operator != "" {
		op, err := config.LoadOperator(f.Operator, os.Getenv)
		if err != nil {
			return nil, "", err
		}
		if op.State == nil && folder == "" {
			return nil, "", errors.New("state: no folder: --folder is not set, and the operator's file has no part `state`")
		}
		if op.State != nil {
			if key = op.State.Key; folder == "" {
				folder = op.State.Folder
			}
		}
	}
	if folder == "" {
		return nil, "", errors.New("state: no folder: want --folder or --operator")
	}
	return snapshot.NewStore(snapshot.Folder(folder), key), folder, nil
}

// fileState describes a snapshot file, as the sub-commands print it.
type fileState struct {
	File     string            `json:"File"`
	Bytes    int               `json:"Bytes"`
	Error    string            `json:"Error,omitempty"`
	Whole    bool              `json:"Whole"`
	Bad      int               `json:"Bad,omitempty"`
	Cut      bool              `json:"Cut,omitempty"`
	Made     time.Time         `json:"Made"`
	AgeS     float64           `json:"AgeS"`
	Gateway  string            `json:"Gateway"`
	Settings string            `json:"Settings"`
	Position int64             `json:"Position"`
	Places   []localitySummary `json:"Places"`
}

// localitySummary describes the learned state of one locality in a snapshot file.
type localitySummary struct {
	Zone     string `json:"Zone"`
	Listings int    `json:"Listings"`
	Servers  int    `json:"Servers"`
	Purges   int    `json:"Purges"`
	Believed int    `json:"Believed"` // sum of the listings' confidence at their present age, rounded
	Ill      int    `json:"Ill"`      // endpoints with an error rate above 0.4, or ejected
}

// describeFile returns the description of a snapshot file at the time now.
func describeFile(f snapshot.LoadedFile, now time.Time) fileState {
	s := fileState{File: f.Name, Bytes: f.Size, Whole: f.Damage.Complete, Bad: f.Damage.BadRecords, Cut: f.Damage.Truncated}
	if f.Err != nil {
		s.Error = f.Err.Error()
	}
	if f.Snapshot == nil {
		return s
	}
	s.Made = time.Unix(0, int64(f.Snapshot.CreatedAt))
	s.AgeS, s.Gateway, s.Settings, s.Position = now.Sub(s.Made).Seconds(), f.Snapshot.Gateway, f.Snapshot.SettingsFingerprint, f.Snapshot.JournalPosition
	unix := time.Duration(now.UnixNano())
	for _, d := range f.Snapshot.Directors {
		p := localitySummary{Zone: d.Zone, Listings: len(d.Listings), Servers: len(d.Endpoints), Purges: len(d.Purges)}
		confidence := 0.0
		for _, l := range d.Listings {
			confidence += warmstart.ConfidenceAt(unix - l.LastRequest).Listing
		}
		p.Believed = int(confidence + 0.5)
		for _, h := range d.Endpoints {
			if h.ErrorRate > 0.4 || h.EjectedUntil > unix {
				p.Ill++
			}
		}
		s.Places = append(s.Places, p)
	}
	return s
}

// printFile prints the description of a snapshot file, as text or as one line of JSON.
func (f *snapshotFolderFlags) printFile(s fileState) error {
	if f.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	switch {
	case s.Error != "":
		fmt.Printf("%s: %d bytes, not used: %s\n", s.File, s.Bytes, s.Error)
		return nil
	case s.Whole:
		fmt.Printf("%s: %d bytes, whole\n", s.File, s.Bytes)
	default:
		fmt.Printf("%s: %d bytes, damaged: %d records lost, cut: %v\n", s.File, s.Bytes, s.Bad, s.Cut)
	}
	fmt.Printf("  of gateway %s, settings %s, made %s (%.0f s ago), journal at %d\n", s.Gateway, s.Settings, s.Made.Format(time.RFC3339), s.AgeS, s.Position)
	for _, p := range s.Places {
		fmt.Printf("  %s: %d listings (%d believed by now), %d servers (%d ill), %d purges\n", p.Zone, p.Listings, p.Believed, p.Servers, p.Ill, p.Purges)
	}
	return nil
}

// printAll prints the descriptions of all snapshot files, the newest first. It returns the folder, the number of files, and
// whether the newest one is readable and complete.
func (f *snapshotFolderFlags) printAll() (folder string, fileCount int, newestComplete bool, err error) {
	store, folder, err := f.openStore()
	if err != nil {
		return folder, 0, false, err
	}
	all, err := store.Inspect()
	for _, found := range all {
		if err == nil {
			err = f.printFile(describeFile(found, time.Now()))
		}
	}
	return folder, len(all), len(all) > 0 && all[0].Err == nil && all[0].Damage.Complete, err
}

// stateShow is the sub-command `state show`.
type stateShow struct{ snapshotFolderFlags }

// Run prints descriptions of all snapshot files.
func (s *stateShow) Run() error {
	folder, n, _, err := s.printAll()
	if err == nil && n == 0 && !s.JSON {
		fmt.Printf("%s: nothing is kept\n", folder)
	}
	return err
}

// stateVerify is the sub-command `state verify`.
type stateVerify struct{ snapshotFolderFlags }

// Run prints descriptions of all snapshot files, and fails if the newest one is not complete.
func (s *stateVerify) Run() error {
	folder, _, newestComplete, err := s.printAll()
	if err == nil && !newestComplete {
		err = fmt.Errorf("state: %s: the newest snapshot file is not complete, or the folder has none", folder)
	}
	return err
}

// statePrune is the sub-command `state prune`.
type statePrune struct{ snapshotFolderFlags }

// Run removes all snapshot files except the newest complete one, and what interrupted writes have left. It fails if a gateway
// uses the folder.
func (s *statePrune) Run() error {
	store, folder, err := s.openStore()
	if err != nil {
		return err
	}
	unlock, err := snapshot.Folder(folder).Lock()
	if err != nil {
		return err
	}
	defer unlock()
	removed, err := store.Prune()
	for _, name := range removed {
		if s.JSON {
			_ = json.NewEncoder(os.Stdout).Encode(map[string]string{"Removed": name})
		} else {
			fmt.Println("removed", name)
		}
	}
	return err
}
