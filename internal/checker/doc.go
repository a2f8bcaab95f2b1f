// Package checker checks a configuration of packet flows before it is published.
//
// Check finds errors, entries that can never match, limits that contradict each
// other, and the differences from the version in force with their effect on open
// flows. Where the targets and the evacuation requests are known, it also finds
// services without targets and services whose zones are all evacuated.
//
// A Document is a configuration with the values as the operator wrote them, because
// a decoded configuration doesn't show all of them: a negative weight, for example,
// is decoded as 0. The adapter of the platform fills it.
//
// # Usage
//
//	result := checker.Check(document, checker.Options{InForce: &before})
//	for _, p := range result.Problems {
//		fmt.Println(p)
//	}
package checker
