package main

import (
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/snapshot"
	"larchusher/warmstart"
)

// ticksPerSnapshot is how many times per snapshot interval the program checks whether a snapshot is due.
const ticksPerSnapshot = 4

// openSnapshots imports the learned state that an earlier process saved, and starts to save learned state periodically. The
// endpoint list must be known. If the folder cannot be used, the error is logged and the program goes on without saving.
func (p *program) openSnapshots() {
	log := p.log.WithField(logfields.Folder, p.operator.State.Folder)
	saver, found, err := snapshot.Open(p.operator.State.Folder, p.operator.State.Key, log)
	if err != nil {
		log.WithError(err).Error(logfields.StateNotSaved)
		return
	}
	if found != nil {
		saver.Imported = p.gateway.ImportSnapshot(found, p.cfg.Name, p.cfg.Fingerprint())
		log.WithField(logfields.Detail, saver.Imported.String()).Info(logfields.StateImported)
	}
	p.snapshots = saver
	interval := p.operator.State.SnapshotInterval
	saver.Start(interval, p.loop.Post, func() *warmstart.Snapshot { return p.exportSnapshot(p.operator.State.MaxListings) })
	var tick func()
	tick = func() {
		saver.Tick(p.gateway.DirectorTime(p.loop.Now()))
		p.loop.After(min(time.Second, interval/ticksPerSnapshot), tick)
	}
	p.loop.Post(tick)
}

// exportSnapshot returns the learned state of all directors, with at most maxListings listings of each director's mapping table.
func (p *program) exportSnapshot(maxListings int) *warmstart.Snapshot {
	return &warmstart.Snapshot{
		CreatedAt:           p.gateway.DirectorTime(p.loop.Now()),
		Gateway:             p.cfg.Name,
		SettingsFingerprint: p.cfg.Fingerprint(),
		JournalPosition:     p.discovery.Position(),
		Directors:           p.gateway.ExportLearned(maxListings),
	}
}
