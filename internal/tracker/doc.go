// Package tracker tracks the flows of one target from their packet headers. It
// estimates the load of the target and tells balancers which flows the target
// holds, so that later packets need no search. All of this is soft state: a
// restarted tracker is empty, and no flow depends on it.
//
// A request counts as running from the first new byte that the caller sends
// until the target sends data. A new flow counts as a running request for a short
// time, because its first request usually follows immediately.
//
// # Usage
//
//	t := tracker.NewTracker(tracker.Options{Slots: 2})
//	t.ObserveCallerPacket(key, packet, now)
//	via, ok := t.ObserveTargetPacket(key, packet, now)
//	load := t.Load(now)
package tracker
