// Package overload decides what a gateway takes on when more is asked of it than it can do:
//
//   - which requests are admitted and which are shed: [Controller] measures and sets an [AdmissionPolicy] once a tick,
//     [AdmissionController] applies it to each request;
//   - in which order queued requests are served, and how long they may wait: [Order], [Queue];
//   - whose responses may take memory: [Memory];
//   - whether a gap in time was a pause of the host, which must not be mistaken for load: [SchedulingMonitor];
//   - which weight load balancers are told: [BalancerWeight].
//
// The package does no I/O, reads no clock and holds no global state: the gateway feeds it samples and carries out its
// decisions. Times are on one clock that runs forward, from any beginning. Nothing blocks. Only [AdmissionController] is safe
// for concurrent use; everything else belongs to the gateway's event loop.
package overload
