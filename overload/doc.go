// Package overload decides what a gateway serves when the offered load exceeds its capacity:
//
//   - which requests are admitted and which are shed: [Controller] sets an [AdmissionPolicy] once a
//     tick from the gateway's measurements, and [AdmissionController] applies it to each request;
//   - in which order queued requests are served, and how long they may wait: [Order], [Queue];
//   - which clients' responses may take memory: [Memory];
//   - whether a gap in time was a pause by the host, which must not be mistaken for load:
//     [SchedulingMonitor];
//   - which weight is advertised to load balancers: [BalancerWeight].
//
// The package does no I/O, reads no clock and holds no global state: the gateway passes it samples
// and carries out its decisions. Times are durations on one clock that never goes back, with any
// origin. Nothing blocks. Only [AdmissionController] is safe for concurrent use; all other values
// that can change belong to the gateway's event loop.
package overload
