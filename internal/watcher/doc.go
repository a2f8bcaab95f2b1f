// Package watcher keeps the configuration of one process up to date. Processes
// form a distribution tree, the watch tree. Depending on its rank in the tree, a
// process either reads and watches the platform or receives heads, sections and
// host list changes from its parents. It forwards what it receives to its
// children.
//
// One goroutine owns all control state. Traffic goroutines read an immutable
// snapshot through an atomic pointer.
//
// The decision logic keeps these invariants:
//
//   - The revision in force never decreases, whatever the platform or peers
//     report.
//   - Before Ready, the process has queried the platform and its peers and has
//     applied the highest revision that they announced.
//   - A process that receives nothing from a parent for 3 s reads the platform
//     itself, with jitter and backoff. Messages from fallbacks in other zones do
//     not count, because fallbacks, unlike parents, can form a cycle.
//   - A process that has a live parent still reads the head every 5 minutes on
//     average, to find a revision that no watching process can see.
//   - Refused and conflicting heads are forwarded like accepted ones, so that
//     every process refuses and reports the same heads.
//   - A peer that announces a lower revision is sent the higher one, in either
//     direction, so that restoring the platform from a backup or restarting
//     processes cannot lose a revision that a reachable process has in force.
//
// # Usage
//
//	w, err := watcher.NewWatcher(watcher.Options{
//		Name: "balancer-1", AvailabilityZone: "howrah",
//		PlatformURL: "http://127.0.0.1:8000", Messenger: m, Validate: validate,
//	})
//	go w.Run(ctx)
//	<-w.Ready()
//	snapshot := w.Snapshot()
package watcher
