package snapshot

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
	"larchusher/internal/metrics"
	"larchusher/warmstart"
)

// Saver writes snapshots beside the loop of a gateway: what is to be written is copied out on the loop, and one goroutine
// of its own writes it. Whatever a disk does, requests do not wait for it. Its methods are for the loop.
type Saver struct {
	store      *Store
	log        logrus.FieldLogger
	export     func() *warmstart.Snapshot
	post       func(func()) bool
	work       chan *warmstart.Snapshot
	writerDone chan struct{} // closed when the writer has ended
	schedule   warmstart.SaveSchedule
	unlock     func()

	Size            int           // of the latest file
	LastStarted     time.Duration // when the latest was begun, Unix time; 0: none was
	LongestExport   time.Duration // that copying out took of the loop
	Imported        warmstart.ImportReport
	Found           bool // there was one at the start
	UnreadableFiles int  // files that could not be read at all then
	BadRecords      int  // records that could not
}

// openTimeout bounds how long a start waits for its folder.
const openTimeout = 2 * time.Second

// Open locks a folder and reads what is there; found is nil if there is nothing. An error says that this process goes
// without it.
func Open(folder string, key []byte, log logrus.FieldLogger) (k *Saver, found *warmstart.Snapshot, err error) {
	unlock, err := Folder(folder).Lock()
	if err != nil {
		return nil, nil, err
	}
	k = &Saver{store: NewStore(Folder(folder), key), log: log, unlock: unlock, work: make(chan *warmstart.Snapshot, 1), writerDone: make(chan struct{})}
	type result struct {
		best *Found
		all  []Found
		err  error
	}
	done := make(chan result, 1)
	go func() {
		best, all, err := k.store.Load()
		done <- result{best, all, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			unlock()
			return nil, nil, r.err
		}
		for _, f := range r.all {
			if f.Err != nil {
				k.UnreadableFiles++
				log.WithError(f.Err).WithField(logfields.File, f.Name).Warn(logfields.SnapshotUnusable)
			}
		}
		if r.best != nil {
			k.Found, k.BadRecords, k.Size = true, r.best.Damage.BadRecords, r.best.Size
			if !r.best.Damage.Whole {
				log.WithFields(logrus.Fields{logfields.File: r.best.Name, logfields.BadRecords: r.best.Damage.BadRecords,
					logfields.Truncated: r.best.Damage.Truncated}).Warn(logfields.SnapshotDamaged)
			}
			found = r.best.Snap
		}
		return k, found, nil
	case <-time.After(openTimeout): // its goroutine ends with the folder's answer
		return nil, nil, errors.New("the folder does not answer")
	}
}

// Start has snapshots written at a pace. export copies out what is known, on the loop; post has the loop run something.
func (k *Saver) Start(every time.Duration, post func(func()) bool, export func() *warmstart.Snapshot) {
	k.schedule.Interval, k.post, k.export = every, post, export
	go func() {
		defer close(k.writerDone)
		for s := range k.work {
			size, err := k.store.Save(s)
			post(func() { k.saveFinished(s.Made, size, err) })
		}
	}()
}

// Tick is called now and then, with the Unix time.
func (k *Saver) Tick(now time.Duration) {
	if k.schedule.Hanging(now) {
		k.log.Error(logfields.SnapshotWriteHangs)
	}
	if !k.schedule.Due(now) {
		return
	}
	k.schedule.Started(now)
	k.LastStarted = now
	k.work <- k.exportState() // there is room: no write is out
}

func (k *Saver) exportState() *warmstart.Snapshot {
	began := time.Now()
	s := k.export()
	k.LongestExport = max(k.LongestExport, time.Since(began))
	return s
}

func (k *Saver) saveFinished(now time.Duration, size int, err error) {
	first := k.schedule.Failed == 0
	k.schedule.Finished(now, err != nil)
	if err == nil {
		k.Size = size
	} else if first {
		k.log.WithError(err).Error(logfields.SnapshotWriteFailed)
	}
}

// SaveNow has a snapshot written soon, whatever the pace: the program is about to end, and may be killed at any moment.
func (k *Saver) SaveNow(now time.Duration) {
	k.schedule.Force()
	k.Tick(now)
}

// Close gives the folder back. The loop has ended, and nothing is written any more but what is being written; it waits
// for that, but not for long.
func (k *Saver) Close(within time.Duration) {
	close(k.work)
	select {
	case <-k.writerDone:
	case <-time.After(within): // its file will be there whole, or not at all
	}
	k.unlock()
}

// Metrics are what is told of it.
func (k *Saver) Metrics(now time.Duration) (all []metrics.Value) {
	add := func(kind metrics.Kind, name, help string, v float64, labels ...metrics.Label) {
		all = append(all, metrics.Value{Name: name, Help: help, Kind: kind, Value: v, Labels: labels})
	}
	add(metrics.Counter, "state_written", "Snapshots written.", float64(k.schedule.Written))
	add(metrics.Counter, "state_failed", "Snapshots that could not be written.", float64(k.schedule.Failed))
	add(metrics.Counter, "state_hung", "Writes that took over half a minute.", float64(k.schedule.Hung))
	add(metrics.Gauge, "state_bytes", "Size of the latest one.", float64(k.Size))
	add(metrics.Gauge, "state_copy_us", "Longest time that copying out took of the loop, in microseconds.", float64(k.LongestExport.Microseconds()))
	if k.LastStarted > 0 {
		add(metrics.Gauge, "state_age_ms", "Since the latest one was begun, in milliseconds.", float64((now - k.LastStarted).Milliseconds()))
	}
	add(metrics.Counter, "state_broken_files", "Files that could not be read at the start.", float64(k.UnreadableFiles))
	add(metrics.Counter, "state_bad_records", "Records that could not.", float64(k.BadRecords))
	if !k.Found {
		return all
	}
	r := k.Imported
	void := 0.0
	if r.Void != nil {
		void = 1
	}
	add(metrics.Gauge, "state_void", "The snapshot found at the start was void.", void)
	add(metrics.Gauge, "state_recalled_age_ms", "How old it was, in milliseconds.", float64(r.Age.Milliseconds()))
	for _, u := range []struct {
		of string
		n  int
	}{{"listings", r.Listings}, {"servers", r.Endpoints}, {"purges", r.Purges}} {
		add(metrics.Counter, "state_used", "What was taken in at the start.", float64(u.n), metrics.Label{Name: "of", Value: u.of})
	}
	for _, u := range []struct {
		why string
		n   int
	}{{"aged", r.Expired}, {"gone", r.Gone}, {"restarted", r.Restarted}, {"cold", r.WarmingUp}, {"odd", r.Invalid}} {
		add(metrics.Counter, "state_dropped", "What was not, by reason.", float64(u.n), metrics.Label{Name: "why", Value: u.why})
	}
	return all
}
