package routing_test

import (
	"fmt"
	"time"

	"larchusher/routing"
)

// A director in front of two caches and an origin forwards a request and learns from the answer. A
// request that arrives at its deadline is rejected.
func Example() {
	d, err := routing.New(routing.Settings{
		Zone: "lab", Zones: []string{"lab"}, Kinds: []string{"cache", "origin"}, ParentKind: -1, OriginKind: 1,
		Classes:  []routing.Class{{Name: "page", LatencyObjective: 250 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1}},
		FlowKBps: 4000, AnswerDetail: routing.DetailHit, ClockStep: time.Millisecond,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	d.Handle(now, routing.EndpointUpdate{Kind: routing.FullList, Endpoints: []routing.Endpoint{
		{ID: "a", Zone: "lab", Kind: "cache"}, {ID: "b", Zone: "lab", Kind: "cache"},
		{ID: "store", Zone: "lab", Kind: "origin"},
	}}, nil)

	request := routing.Request{ID: "1", Class: "page", Object: "sign", SizeKB: 40, Deadline: now + 3*time.Second}
	for _, a := range d.Handle(now, request, nil) {
		if forward, ok := a.(routing.ForwardAttempt); ok {
			fmt.Println("forward to", forward.Endpoint, "with fills from", forward.FillSource)
			now += 30 * time.Millisecond
			d.Handle(now, routing.AttemptResult{ID: "1", Endpoint: forward.Endpoint, Status: routing.OK, Reason: routing.ReasonFilled,
				Final: true, Latency: 30 * time.Millisecond}, nil)
		}
	}

	now += time.Second // the deadline of this request has passed: it is rejected at once
	late := routing.Request{ID: "2", Class: "page", Object: "sign", Deadline: now}
	for _, a := range d.Handle(now, late, nil) {
		fmt.Printf("%T\n", a)
	}
	// Output:
	// forward to a with fills from store
	// routing.Reject
}
