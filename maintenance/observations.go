package maintenance

// The kinds of machine.
const (
	KindCache   = "box"     // a cache that clients are sent to
	KindParent  = "parent"  // an upper cache, which fills boxes
	KindGateway = "gateway" // runs this program
)

// Machine is what is observed of a machine.
type Machine struct {
	Kind        string  `json:"kind"`
	Zone        string  `json:"zone"`
	Up          bool    `json:"up"`
	Warm        bool    `json:"warm"`   // of a gateway: it is ready
	BootMs      int64   `json:"boot"`   // Unix time of its latest start
	Weight      float64 `json:"weight"` // capacity, relative to other machines of its kind
	Utilization float64 `json:"busy"`   // share of its capacity that is in use; negative: unknown
}

// StageTimeouts says which time limits of a request at a stage have passed, by the clock of the coordinator.
type StageTimeouts struct {
	ID            uint64 `json:"id"`
	Stage         Stage  `json:"stage"`
	Epoch         uint64 `json:"epoch"`            // of its grant
	LeasesExpired bool   `json:"lapsed,omitempty"` // draining: all leases from before the drain have expired
	Overdue       bool   `json:"late,omitempty"`   // out of service: for longer than was said
	SlowStartOver bool   `json:"ramped,omitempty"` // warming up: the machine must be warm by now
}

// Observations are what the coordinator has gathered; where gateways differ, the most cautious report.
type Observations struct {
	Machines      map[string]Machine `json:"machines"`
	Pressure      string             `json:"strain,omitempty"` // why no machine should be taken out: overload, a slow origin, purges
	StageTimeouts []StageTimeouts    `json:"spans,omitempty"`
}

// elapsed are the time limits of a request at its present stage; zero: none is known to have passed.
func (o *Observations) elapsed(r *Request) (found StageTimeouts) {
	for _, e := range o.StageTimeouts {
		if e.ID == r.ID && e.Stage == r.Stage && e.Epoch == r.GrantEpoch {
			found = e
		}
	}
	return found
}
