// Package keeper decides which configuration revision a process applies.
//
// A published configuration is a Head (a manifest with the revision number and
// the name, hash and size of each section) and the sections themselves. A
// Keeper receives heads from the platform and from peers in any order, reports
// which sections are still to be fetched, and puts the highest complete and
// valid revision in force:
//
//   - the revision number in force never decreases,
//   - a head with the revision number in force but different content is a
//     conflict and is refused,
//   - a complete revision that fails validation is refused as a whole and the
//     one in force stays; the same content is not validated again,
//   - a head with missing sections is kept as a candidate, so that a revision
//     whose sections were lost cannot block a lower valid one.
//
// The outcome depends on the set of offered heads and not on their order, so
// processes that were offered the same heads converge on the same revision.
// The exception is two valid contents published under one revision number:
// each process keeps the one that it completed first and reports the other,
// and the next revision resolves the conflict.
//
// The limits are constants and not options, so that every process refuses the
// same heads. A Keeper is not safe for concurrent use. It reads no clock;
// Offer takes the current time.
//
// # Usage
//
//	k := keeper.NewKeeper(keeper.Options{Check: check})
//	verdict := k.Offer(head, "platform", now)
//	for _, ref := range k.Missing() {
//		verdict = k.Store(fetch(ref))
//	}
//	head, sections := k.Accepted()
package keeper
