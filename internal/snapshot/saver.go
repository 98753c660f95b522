package snapshot

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
	"larchusher/warmstart"
)

// Saver writes snapshots beside the event loop of a gateway: the loop copies out what is to be written, and a goroutine of the
// Saver's own writes it, so that requests don't wait for a disk. [Open] may be called anywhere and may block; the methods
// are for the event loop and, [Saver.Close] apart, don't block.
type Saver struct {
	store      *Store
	log        logrus.FieldLogger
	unlock     func()
	export     func() *warmstart.Snapshot
	post       func(func()) bool
	work       chan *warmstart.Snapshot // to the writing goroutine
	writerDone chan struct{}            // closed when that has ended
	schedule   warmstart.SaveSchedule

	Size          int           // bytes of the latest file
	LastStarted   time.Duration // start of the latest write, Unix time; 0: none
	LongestExport time.Duration // longest time that the event loop took to copy out a snapshot

	Imported        warmstart.ImportReport // what became of the snapshot that was found at the start
	SnapshotFound   bool                   // there was one
	UnreadableFiles int                    // of which nothing could be used then
	BadRecords      int                    // of the one that was found
}

// openTimeout bounds how long a start waits for its folder.
const openTimeout = 2 * time.Second

// loaded is what a store has loaded.
type loaded struct {
	best *LoadedFile
	all  []LoadedFile
	err  error
}

// Open locks a folder and reads the latest snapshot; found is nil if there is none. An error says that this process goes
// without the folder.
func Open(folder string, key []byte, log logrus.FieldLogger) (s *Saver, found *warmstart.Snapshot, err error) {
	unlock, err := Folder(folder).Lock()
	if err != nil {
		return nil, nil, err
	}
	s = &Saver{
		store:      NewStore(Folder(folder), key),
		log:        log,
		unlock:     unlock,
		work:       make(chan *warmstart.Snapshot, 1),
		writerDone: make(chan struct{}),
	}
	done := make(chan loaded, 1)
	go func() {
		best, all, err := s.store.Load()
		done <- loaded{best, all, err}
	}()
	select {
	case l := <-done:
		if l.err != nil {
			unlock()
			return nil, nil, l.err
		}
		return s, s.takeLoaded(l), nil
	case <-time.After(openTimeout): // the goroutine ends when the folder answers
		return nil, nil, errors.New("the folder does not answer")
	}
}

// takeLoaded records and logs what was loaded, and returns the snapshot to be used.
func (s *Saver) takeLoaded(l loaded) *warmstart.Snapshot {
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

// Start starts the writing, at an interval; 0: warmstart.DefaultSaveInterval. export copies out what has been learned, on the
// event loop; post has the event loop run a function.
func (s *Saver) Start(interval time.Duration, post func(func()) bool, export func() *warmstart.Snapshot) {
	s.schedule.Interval, s.post, s.export = interval, post, export
	go func() {
		defer close(s.writerDone)
		for snap := range s.work {
			size, err := s.store.Save(snap)
			post(func() { s.saveFinished(snap.CreatedAt, size, err) })
		}
	}()
}

// Tick starts a write if one is due. It is to be called several times an interval, with the Unix time.
func (s *Saver) Tick(now time.Duration) {
	if s.schedule.Hanging(now) {
		s.log.Error(logfields.SnapshotWriteHangs)
	}
	if !s.schedule.Due(now) {
		return
	}
	s.schedule.Started(now)
	s.LastStarted = now
	s.work <- s.exportState() // doesn't block: no write is in progress, and there is room for one
}

// exportState copies out a snapshot, and measures how long that takes.
func (s *Saver) exportState() *warmstart.Snapshot {
	began := time.Now()
	snap := s.export()
	s.LongestExport = max(s.LongestExport, time.Since(began))
	return snap
}

// saveFinished records the end of a write. Only the first failure is logged.
func (s *Saver) saveFinished(now time.Duration, size int, err error) {
	isFirst := s.schedule.Failed == 0
	s.schedule.Finished(now, err != nil)
	if err == nil {
		s.Size = size
	} else if isFirst {
		s.log.WithError(err).Error(logfields.SnapshotWriteFailed)
	}
}

// SaveNow starts a write whatever the interval, unless one is in progress: the program is about to end, and may be killed at
// any moment.
func (s *Saver) SaveNow(now time.Duration) {
	s.schedule.Force()
	s.Tick(now)
}

// Close unlocks the folder. It is to be called when the event loop has ended, and waits for the current write, but no longer than
// the timeout: its file will be complete or not be there.
func (s *Saver) Close(timeout time.Duration) {
	close(s.work)
	select {
	case <-s.writerDone:
	case <-time.After(timeout):
	}
	s.unlock()
}
