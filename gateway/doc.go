// Package gateway is the runtime of larchusher: it owns the requests, the attempts made for them, the way each attempt
// ends, and the one final answer that each request gets. It knows no wire format, socket or encoding.
//
// A front (internal/net/msgpackrpc, internal/net/signedfront, middleware) admits and submits requests and takes their
// answers. A director of package routing makes every decision about a request; package overload decides who is admitted,
// package locality which locality a request goes to. A [Backend] (internal/net/resp) carries attempts to endpoints.
//
// All of it runs on one [Loop]: methods of [Gateway] may be called from functions that the loop runs and nowhere else,
// unless their comment says otherwise, and none of them blocks. Callbacks such as [Request.Answer] run on the loop, too,
// and must not block.
package gateway
