// Package cataloger holds the tables of services, targets and hosts of a
// process and builds the immutable snapshot that the goroutines handling
// traffic read.
//
// FleetSpec and the types inside it define the JSON and YAML documents that
// operators publish. A Snapshot is built from one accepted fleet document and
// one host list. It is immutable after NewSnapshot returns, so goroutines can
// share it through an atomic pointer.
//
// # Usage
//
//	snapshot, err := cataloger.NewSnapshot(fleet, hosts)
//	if err != nil {
//		return err
//	}
//	service, ok := snapshot.ServiceByAddress(address)
package cataloger
