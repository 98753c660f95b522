package snapshot

import (
	"time"

	"larchusher/internal/metrics"
)

// Metrics returns the metrics of a Saver, for the event loop. now is the Unix time.
func (s *Saver) Metrics(now time.Duration) (all []metrics.Value) {
	add := func(kind metrics.Kind, name, help string, v float64, labels ...metrics.Label) {
		all = append(all, metrics.Value{Name: name, Help: help, Kind: kind, Value: v, Labels: labels})
	}
	add(metrics.Counter, "state_written", "Snapshots written.", float64(s.schedule.Written))
	add(metrics.Counter, "state_failed", "Snapshots that could not be written.", float64(s.schedule.Failed))
	add(metrics.Counter, "state_hung", "Writes that took over half a minute.", float64(s.schedule.Hung))
	add(metrics.Gauge, "state_bytes", "Size of the latest one.", float64(s.Size))
	add(metrics.Gauge, "state_copy_us", "Longest time that copying out took of the loop, in microseconds.", float64(s.LongestExport.Microseconds()))
	if s.LastStarted > 0 {
		add(metrics.Gauge, "state_age_ms", "Since the latest one was begun, in milliseconds.", float64((now - s.LastStarted).Milliseconds()))
	}
	add(metrics.Counter, "state_broken_files", "Files that could not be read at the start.", float64(s.UnreadableFiles))
	add(metrics.Counter, "state_bad_records", "Records that could not.", float64(s.BadRecords))
	if !s.SnapshotFound {
		return all
	}
	r := s.Imported
	void := 0.0
	if r.ValidationErr != nil {
		void = 1
	}
	add(metrics.Gauge, "state_void", "The snapshot found at the start was void.", void)
	add(metrics.Gauge, "state_recalled_age_ms", "How old it was, in milliseconds.", float64(r.Age.Milliseconds()))
	for _, used := range []struct {
		of string
		n  int
	}{{"listings", r.Listings}, {"servers", r.Endpoints}, {"purges", r.Purges}} {
		add(metrics.Counter, "state_used", "What was taken in at the start.", float64(used.n), metrics.Label{Name: "of", Value: used.of})
	}
	for _, dropped := range []struct {
		why string
		n   int
	}{{"aged", r.Expired}, {"gone", r.Gone}, {"restarted", r.Restarted}, {"cold", r.WarmingUp}, {"odd", r.Invalid}} {
		add(metrics.Counter, "state_dropped", "What was not, by reason.", float64(dropped.n), metrics.Label{Name: "why", Value: dropped.why})
	}
	return all
}
