package watcher

import (
	"cmp"
	"net/netip"
	"slices"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/ranker"
)

const (
	// maxHosts limits the host table. The target size has 12,500 entries.
	maxHosts = 65_536
	// maxRemoved limits the removed entries that are kept for peers with an older
	// list. At 4,700 changes a day they cover several hours.
	maxRemoved = 1024
	// maxHostsPerMessage keeps a message with host entries below 300 KB.
	maxHostsPerMessage = 2000
)

type hostEntry struct {
	spec    cataloger.HostSpec
	version uint64
}

func (e hostEntry) isRemoved() bool { return e.spec.State == cataloger.HostRemoved }

// hostPosition says how new a host list is. The platform gives out versions again
// after it came back from an older copy of its data, and counts these returns as
// epochs.
type hostPosition struct {
	epoch   uint64
	version uint64
}

// compare orders positions by epoch and then by version.
func (p hostPosition) compare(other hostPosition) int {
	return cmp.Or(cmp.Compare(p.epoch, other.epoch), cmp.Compare(p.version, other.version))
}

// hostChanges is the whole host list if from is 0, otherwise the changes after
// version from of the epoch.
type hostChanges struct {
	epoch   uint64
	from    uint64
	to      uint64
	entries []hostEntry
}

// hostTable is the host list by name. Its position never decreases.
type hostTable struct {
	known bool
	hostPosition
	// oldestDeltaBase is the lowest version of the epoch from which changes can be
	// computed: all removals after it are still kept.
	oldestDeltaBase uint64
	entries         map[string]hostEntry
}

// apply merges changes and reports whether the table changed.
func (t *hostTable) apply(c hostChanges) bool {
	to := hostPosition{epoch: c.epoch, version: c.to}
	continues := c.epoch == t.epoch && c.from <= t.version
	if t.known && (to.compare(t.hostPosition) <= 0 || c.from > 0 && !continues) {
		return false
	}
	if c.from == 0 || t.entries == nil {
		t.entries = make(map[string]hostEntry, len(c.entries))
		t.oldestDeltaBase = c.to
	}
	for _, e := range c.entries {
		if old, ok := t.entries[e.spec.Name]; (!ok || e.version > old.version) && (ok || len(t.entries) < maxHosts) {
			t.entries[e.spec.Name] = e
		}
	}
	t.known, t.hostPosition = true, to
	t.pruneRemoved()
	return true
}

// pruneRemoved deletes the oldest removed entries once there are more than
// maxRemoved.
func (t *hostTable) pruneRemoved() {
	var removed []hostEntry
	for _, e := range t.entries {
		if e.isRemoved() {
			removed = append(removed, e)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	slices.SortFunc(removed, func(a, b hostEntry) int { return cmp.Compare(a.version, b.version) })
	for _, e := range removed[:len(removed)-maxRemoved/2] {
		t.oldestDeltaBase = max(t.oldestDeltaBase, e.version)
		delete(t.entries, e.spec.Name)
	}
}

// changesAfter returns the changes that a peer at the given position lacks, or the
// whole list if the position is of another epoch or before oldestDeltaBase.
func (t *hostTable) changesAfter(p hostPosition) hostChanges {
	c := hostChanges{epoch: t.epoch, from: p.version, to: t.version}
	if p.epoch != t.epoch || p.version < t.oldestDeltaBase {
		c.from = 0
	}
	for _, e := range t.entries {
		if e.version > c.from && (c.from > 0 || !e.isRemoved()) {
			c.entries = append(c.entries, e)
		}
	}
	slices.SortFunc(c.entries, func(a, b hostEntry) int {
		return cmp.Or(cmp.Compare(a.version, b.version), cmp.Compare(a.spec.Name, b.spec.Name))
	})
	return c
}

func (t *hostTable) controlAddress(name string) (netip.AddrPort, bool) {
	e, ok := t.entries[name]
	if !ok || e.isRemoved() {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(e.spec.ControlAddress)
	return address, err == nil
}

func (t *hostTable) rankerHosts() []ranker.Host {
	hosts := make([]ranker.Host, 0, len(t.entries))
	for _, e := range t.entries {
		hosts = append(hosts, ranker.NewHost(e.spec.Name, e.spec.AvailabilityZone, e.spec.State == cataloger.HostLive))
	}
	return hosts
}

// specs returns the valid entries sorted by name. Entries with addresses that do
// not parse are omitted, so that one invalid entry does not block a snapshot.
func (t *hostTable) specs() []cataloger.HostSpec {
	specs := make([]cataloger.HostSpec, 0, len(t.entries))
	for _, e := range t.entries {
		_, controlErr := netip.ParseAddrPort(e.spec.ControlAddress)
		_, tunnelErr := netip.ParseAddrPort(e.spec.TunnelAddress)
		if e.isRemoved() || controlErr != nil || (tunnelErr != nil && e.spec.TunnelAddress != "") {
			continue
		}
		specs = append(specs, e.spec)
	}
	slices.SortFunc(specs, func(a, b cataloger.HostSpec) int { return cmp.Compare(a.Name, b.Name) })
	return specs
}

// hostMessages encodes changes as messages of at most maxHostsPerMessage
// entries. All but the last one have to_version 0.
func hostMessages(c hostChanges) []*wirepb.Envelope {
	var messages []*wirepb.Envelope
	for {
		n := min(len(c.entries), maxHostsPerMessage)
		delta := &wirepb.HostDelta{Epoch: c.epoch, FromVersion: c.from}
		for _, e := range c.entries[:n] {
			delta.Hosts = append(delta.Hosts, &wirepb.HostEntry{
				Name: e.spec.Name, Role: e.spec.Role, AvailabilityZone: e.spec.AvailabilityZone, State: e.spec.State,
				ControlAddress: e.spec.ControlAddress, TunnelAddress: e.spec.TunnelAddress,
				Version: e.version, Removed: e.isRemoved(),
			})
		}
		messages = append(messages, &wirepb.Envelope{Body: &wirepb.Envelope_HostDelta{HostDelta: delta}})
		if c.entries = c.entries[n:]; len(c.entries) == 0 {
			delta.ToVersion = c.to
			return messages
		}
	}
}

func hostEntries(delta *wirepb.HostDelta) []hostEntry {
	entries := make([]hostEntry, 0, len(delta.GetHosts()))
	for _, h := range delta.GetHosts() {
		spec := cataloger.HostSpec{
			Name: h.GetName(), Role: h.GetRole(), AvailabilityZone: h.GetAvailabilityZone(), State: h.GetState(),
			ControlAddress: h.GetControlAddress(), TunnelAddress: h.GetTunnelAddress(),
		}
		if h.GetRemoved() {
			spec.State = cataloger.HostRemoved
		}
		entries = append(entries, hostEntry{spec: spec, version: h.GetVersion()})
	}
	return entries
}
