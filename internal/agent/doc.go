// Package agent implements the process that runs next to each backend server.
// It terminates the callers' QUIC connections, serves their HTTP/3 requests
// through the local backend server or other agents of the service, and drains
// on shutdown: requests in flight are cut off only at the drain deadline.
//
// # Usage
//
//	a, err := agent.NewAgent(agent.Options{
//		Target: 7, Incarnation: incarnation, Ring: ring, Snapshot: watcher.Snapshot,
//		BackendURL: "http://127.0.0.1:8080", TLS: tlsConfig, Messenger: messenger,
//	})
//	messenger.Handle(messenger.LaneControl, a.ServeControl)
//	go a.Run(ctx)
//	...
//	err = a.Shutdown(drainContext)
package agent
