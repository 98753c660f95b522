package main

import (
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/snapshot"
	"larchusher/warmstart"
)

// snapshotTicks is how often a snapshot's age is looked at between two of them.
const snapshotTicks = 4

// openSnapshots takes in the learned state of an earlier process, once the endpoint list is known, and has learned state
// saved from now on. A folder that cannot be used costs its use alone.
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
		p.loop.After(min(time.Second, interval/snapshotTicks), tick)
	}
	p.loop.Post(tick)
}

// exportSnapshot is what the directors have learned, with at most maxListings of the mapping table of each.
func (p *program) exportSnapshot(maxListings int) *warmstart.Snapshot {
	return &warmstart.Snapshot{
		CreatedAt:           p.gateway.DirectorTime(p.loop.Now()),
		Gateway:             p.cfg.Name,
		SettingsFingerprint: p.cfg.Fingerprint(),
		JournalPosition:     p.discovery.Position(),
		Directors:           p.gateway.ExportLearned(maxListings),
	}
}
