package localitysim

import (
	"time"

	"larchusher/locality"
)

type eventKind uint8

// event is a simulated event. Which fields are set depends on its kind; for faultChanged, zone is the index of the fault,
// rerouted is true for a change of the fault and false for an update of the endpoint list, and hit marks the fault's start.
type event struct {
	at       time.Duration
	order    uint64
	kind     eventKind
	result   locality.Result
	hit      bool
	rerouted bool
	gateway  int32
	zone     int32
	class    int8
	object   int32
	load     float32
	due      time.Duration
	id       uint64
}

// events is a min-heap by time; events at the same time keep the order in which they were scheduled.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *events) Push(x any) { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

const (
	requestArrived eventKind = iota
	attemptEnded
	tickDue
	faultChanged
	attemptRejected // a zone rejected an attempt and its gateway receives the rejection
)
