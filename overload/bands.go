package overload

import (
	"cmp"
	"slices"
	"strings"
)

// Order ranks requests into priority bands: classes by their priority weight per unit of cost, and
// within a class, first attempts and clients' retries as two adjacent bands. Band 0 is served first
// and shed last. An Order does not change.
type Order struct {
	ranks        map[string]int // by class name; the class of rank 0 is served first
	names        []string       // by rank
	costs        []float64      // by rank
	retriesFirst bool
}

// NewOrder ranks classes. Classes of equal weight per unit of cost keep the order in which they are
// given.
func NewOrder(classes []Class, retriesFirst bool) *Order {
	ranked := slices.Clone(classes)
	slices.SortStableFunc(ranked, func(a, b Class) int {
		return cmp.Compare(b.PriorityWeight/cmp.Or(b.Cost, 1), a.PriorityWeight/cmp.Or(a.Cost, 1))
	})
	o := &Order{ranks: map[string]int{}, retriesFirst: retriesFirst}
	for i, c := range ranked {
		o.ranks[c.Name] = i
		o.names = append(o.names, c.Name)
		o.costs = append(o.costs, cmp.Or(c.Cost, 1))
	}
	return o
}

// Bands returns the number of bands: two for each class, and a last one for requests of unknown
// classes.
func (o *Order) Bands() int { return 2*len(o.names) + 1 }

// Band returns the band of a request by the name of its class and whether it is a client's retry.
func (o *Order) Band(class string, retry bool) int {
	rank, ok := o.ranks[class]
	return o.band(rank, ok, retry)
}

// BandOf is [Order.Band] for a class name in a buffer. It does not allocate.
func (o *Order) BandOf(class []byte, retry bool) int {
	rank, ok := o.ranks[string(class)]
	return o.band(rank, ok, retry)
}

func (o *Order) band(rank int, known, retry bool) int {
	if !known {
		return 2 * len(o.names)
	}
	if retry != o.retriesFirst {
		return 2*rank + 1
	}
	return 2 * rank
}

// Cost returns the cost of a request of a band.
func (o *Order) Cost(band int) float64 {
	if band/2 >= len(o.costs) {
		return 1
	}
	return o.costs[band/2]
}

// Name returns the name of a band in counters: the name of its class, followed by "+repeat" for
// clients' retries, or "unknown" for the last band.
func (o *Order) Name(band int) string {
	if band/2 >= len(o.names) {
		return "unknown"
	}
	if (band%2 == 1) != o.retriesFirst {
		return o.names[band/2] + retrySuffix
	}
	return o.names[band/2]
}

// retrySuffix ends the names of bands of clients' retries.
const retrySuffix = "+repeat"

// ClassOf returns the class name from the name of a band.
func ClassOf(band string) string { return strings.TrimSuffix(band, retrySuffix) }
