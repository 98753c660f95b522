// Package gateway is the runtime of larchusher. It owns the open requests, the attempts made for
// them and their results, and the one final answer that each request gets. It knows no wire format,
// socket or encoding.
//
// Fronts (internal/net/msgpackrpc, internal/net/signedfront, middleware) have requests admitted,
// submit them and receive their answers. Directors of package routing make all decisions about a
// request at its endpoints, package overload decides which requests are admitted, and package
// locality selects the locality of each request. A [Backend] (internal/net/resp) sends the attempts
// to endpoints.
//
// A gateway runs on one [Loop]. Unless their comments state otherwise, methods of [Gateway] may be
// called only from functions that the loop runs; none of them blocks. Callbacks such as
// [Request.Answer] run on the loop, too, and must not block.
package gateway
