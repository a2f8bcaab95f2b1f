// Package dispatcher handles the HTTP requests that reach an agent: it admits
// them, selects a target, executes them on the local backend server or forwards
// them to another agent, retries them, and uses tickets (idempotency keys) to
// execute a non-idempotent request at most once.
//
// A request ends with one of three outcomes. Done: the complete response was
// received. Not run: the request was not executed and will not be. Unknown: it
// may have been executed. A timeout or a lost connection gives unknown once a
// byte of the request may have reached a backend server. Only an explicit
// refusal, or a connection that accepted no byte, gives not run, and only after
// that may a non-idempotent request be retried on another target.
//
// An agent issues a ticket when a non-idempotent request arrives without one,
// and the caller repeats the request with it. The agent that issued the ticket,
// its minter, records the execution in its journal. A request with a ticket is
// executed independently of its caller's connection, so that a caller that
// repeats it on a new connection receives the response of the first execution.
//
// Agents of a service send each other digests, periodic summaries of the load
// of their targets, from which the target of a request is selected. A feed, a
// long-lived response such as server-sent events, always runs on the local
// backend server.
//
// # Usage
//
//	d, err := dispatcher.NewDispatcher(dispatcher.Options{
//		Target: 7, Incarnation: 1, Service: 3, Ring: ring,
//		Snapshot: snapshot, BackendURL: "http://127.0.0.1:8080", OpenStream: messenger.Open,
//	})
//	messenger.Handle(messenger.LaneShort, d.ServePeer)
//	messenger.Handle(messenger.LaneBulk, d.ServePeer)
//	go d.Run(ctx)
//	http.Handle("/", d)
package dispatcher
