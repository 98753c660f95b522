package localitysim

import (
	"time"

	"larchusher/locality"
)

type eventKind uint8

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
	tick
	faultChanged
	attemptRejected // a locality turned a request away, and its gateway hears of it
)
