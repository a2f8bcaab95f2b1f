// Package platform is a test double of the users' configuration service. It
// serves the read and watch API of api/platform.yaml from memory. Its methods
// publish values and hosts, and inject faults: an outage, stale reads, delay, a
// rate limit and a restore from a backup. Every call is counted; a long poll
// counts as one.
//
// # Usage
//
//	p, err := platform.NewPlatform(platform.Options{Address: address})
//	go p.Run(ctx)
//	err = p.LoadFleet("fleet.yaml")
//	p.SetHost(cataloger.HostSpec{Name: "agent-1", ...})
//	p.SetDown(true)
//	calls := p.Calls()
package platform
