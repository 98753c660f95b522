package snapshot

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
	"larchusher/warmstart"
)

// Saver writes the snapshots of a gateway. The event loop copies out what is to be written, and the Saver writes it on a goroutine of
// its own, so that requests don't wait for the disk. [Open] may be called on any goroutine and may block. The methods must be
// called on the event loop and don't block, except [Saver.Close].
type Saver struct {
	store      *Store
	log        logrus.FieldLogger
	unlock     func()
	export     func() *warmstart.Snapshot
	post       func(func()) bool
	writes     chan *warmstart.Snapshot // to the writer's goroutine
	writerDone chan struct{}            // closed when the writer's goroutine has ended
	schedule   warmstart.SaveSchedule

	Size          int           // size in bytes of the latest file
	LastStarted   time.Duration // Unix time at which the latest write was started; 0: none
	LongestExport time.Duration // longest time that the event loop spent copying out a snapshot

	Imported        warmstart.ImportReport // what was used of the snapshot that was found at the start, set by the program
	SnapshotFound   bool                   // a snapshot was found at the start
	UnreadableFiles int                    // files of which nothing could be used at the start
	BadRecords      int                    // damaged records in the snapshot that was found at the start
}

// openTimeout bounds how long Open waits for the folder to be read.
const openTimeout = 2 * time.Second

// loadResult has the results of Store.Load.
type loadResult struct {
	best *LoadedFile
	all  []LoadedFile
	err  error
}

// Open locks a folder and loads the best snapshot in it; found is nil if there is none. It fails if the folder can't be locked or
// read, or not within openTimeout; the process then has to run without the folder.
func Open(folder string, key []byte, log logrus.FieldLogger) (s *Saver, found *warmstart.Snapshot, err error) {
	unlock, err := Folder(folder).Lock()
	if err != nil {
		return nil, nil, err
	}
	s = &Saver{
		store:      NewStore(Folder(folder), key),
		log:        log,
		unlock:     unlock,
		writes:     make(chan *warmstart.Snapshot, 1),
		writerDone: make(chan struct{}),
	}
	done := make(chan loadResult, 1)
	go func() {
		best, all, err := s.store.Load()
		done <- loadResult{best, all, err}
	}()
	select {
	case l := <-done:
		if l.err != nil {
			unlock()
			return nil, nil, l.err
		}
		return s, s.recordLoaded(l), nil
	case <-time.After(openTimeout): // the goroutine ends when the folder has been read
		return nil, nil, errors.New("the snapshot folder could not be read within 2 s")
	}
}

// recordLoaded records and logs the results of a load, and returns the snapshot to be used; nil if there is none.
func (s *Saver) recordLoaded(l loadResult) *warmstart.Snapshot {
	for _, f := range l.all {
		if f.Err != nil {
			s.UnreadableFiles++
			s.log.WithError(f.Err).WithField(logfields.File, f.Name).Warn(logfields.SnapshotUnusable)
		}
	}
	if l.best == nil {
		return nil
	}
	s.SnapshotFound, s.BadRecords, s.Size = true, l.best.Damage.BadRecords, l.best.Size
	if !l.best.Damage.Complete {
		s.log.WithFields(logrus.Fields{
			logfields.File:       l.best.Name,
			logfields.BadRecords: l.best.Damage.BadRecords,
			logfields.Truncated:  l.best.Damage.Truncated,
		}).Warn(logfields.SnapshotDamaged)
	}
	return l.best.Snapshot
}

// Start starts the writer's goroutine. A snapshot is written at each interval; 0: warmstart.DefaultSaveInterval. export is called on
// the event loop and returns a copy of what the gateway has learned. post has the event loop run a function.
func (s *Saver) Start(interval time.Duration, post func(func()) bool, export func() *warmstart.Snapshot) {
	s.schedule.Interval, s.post, s.export = interval, post, export
	go func() {
		defer close(s.writerDone)
		for snap := range s.writes {
			size, err := s.store.Save(snap)
			post(func() { s.saveFinished(snap.CreatedAt, size, err) })
		}
	}()
}

// Tick starts a write if one is due. It must be called several times in an interval, with the Unix time.
func (s *Saver) Tick(now time.Duration) {
	if s.schedule.Hanging(now) {
		s.log.Error(logfields.SnapshotWriteHangs)
	}
	if !s.schedule.Due(now) {
		return
	}
	s.schedule.Started(now)
	s.LastStarted = now
	s.writes <- s.exportState() // does not block: no write is in progress, and the channel has room for one
}

// exportState copies out a snapshot and measures how long the copying takes.
func (s *Saver) exportState() *warmstart.Snapshot {
	began := time.Now()
	snap := s.export()
	s.LongestExport = max(s.LongestExport, time.Since(began))
	return snap
}

// saveFinished records the end of a write. Only the first failed one is logged.
func (s *Saver) saveFinished(now time.Duration, size int, err error) {
	isFirst := s.schedule.Failed == 0
	s.schedule.Finished(now, err != nil)
	if err == nil {
		s.Size = size
	} else if isFirst {
		s.log.WithError(err).Error(logfields.SnapshotWriteFailed)
	}
}

// SaveNow starts a write before the interval has passed, unless one is in progress. It is for a program that is about to end, and may
// be killed at any moment.
func (s *Saver) SaveNow(now time.Duration) {
	s.schedule.Force()
	s.Tick(now)
}

// Close ends the writer and unlocks the folder. It must be called after the event loop has ended. It waits for the current write, but
// no longer than the timeout; a write that is interrupted leaves no incomplete snapshot under its final name.
func (s *Saver) Close(timeout time.Duration) {
	close(s.writes)
	select {
	case <-s.writerDone:
	case <-time.After(timeout):
	}
	s.unlock()
}
