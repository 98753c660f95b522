package maintenance

// Kinds of machines, as stored in Machine.Kind.
const (
	KindCache   = "box"     // a cache that serves requests
	KindParent  = "parent"  // an upper cache, which fills caches
	KindGateway = "gateway" // runs this program
)

// Machine is the observed state of a machine.
type Machine struct {
	Kind        string  `json:"kind"`
	Zone        string  `json:"zone"`
	Up          bool    `json:"up"`
	Warm        bool    `json:"warm"`   // for a gateway: it is ready
	BootMs      int64   `json:"boot"`   // Unix time in ms of its latest start
	Weight      float64 `json:"weight"` // capacity, relative to other machines of its kind
	Utilization float64 `json:"busy"`   // share of its capacity in use; negative: unknown
}

// StageTimeouts reports which time limits of a request have passed in its present stage, by the coordinator's clock.
// ID, Stage and Epoch identify the stage; the flags of another stage or grant are ignored.
type StageTimeouts struct {
	ID            uint64 `json:"id"`               // of the request
	Stage         Stage  `json:"stage"`            // in which the time limits have passed
	Epoch         uint64 `json:"epoch"`            // GrantEpoch of the request
	LeasesExpired bool   `json:"lapsed,omitempty"` // draining: all leases from before the drain have expired, and Limits.DrainGrace has passed since
	Overdue       bool   `json:"late,omitempty"`   // out of service: for longer than Request.DurationMs
	SlowStartOver bool   `json:"ramped,omitempty"` // warming up: slow start has ended, so the machine counts as warm
}

// Observations is the coordinator's summary of what the gateways observe. Where gateways differ about a machine,
// its Up, Warm, BootMs and Utilization each have the most cautious value that was reported.
type Observations struct {
	Machines      map[string]Machine `json:"machines"`
	Pressure      string             `json:"strain,omitempty"` // why no machine should be taken out: overload, a slow origin, purges; empty: no reason
	StageTimeouts []StageTimeouts    `json:"spans,omitempty"`
}

// stageTimeouts returns the time limits that have passed for a request in its present stage, or zero if none are known.
func (o *Observations) stageTimeouts(r *Request) (found StageTimeouts) {
	for _, e := range o.StageTimeouts {
		if e.ID == r.ID && e.Stage == r.Stage && e.Epoch == r.GrantEpoch {
			found = e
		}
	}
	return found
}
