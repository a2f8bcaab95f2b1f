package platform

import (
	"cmp"
	"maps"
	"slices"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
)

type value struct {
	content []byte
	version int64
}

type host struct {
	spec    cataloger.HostSpec
	version int64
}

// store is the state of the platform at one time.
type store struct {
	values       map[string]value
	valueVersion int64
	hosts        map[string]host
	hostVersion  int64
	// epoch counts how often the platform came back from an older copy.
	epoch int64
}

func newStore() *store {
	return &store{values: make(map[string]value), hosts: make(map[string]host)}
}

func (s *store) clone() *store {
	c := *s
	c.values, c.hosts = maps.Clone(s.values), maps.Clone(s.hosts)
	return &c
}

func (s *store) setValue(key string, content []byte) {
	s.valueVersion++
	s.values[key] = value{content: slices.Clone(content), version: s.valueVersion}
}

// setHost gives each entry a version of its own, so that a list of changes can
// be split after any entry.
func (s *store) setHost(spec cataloger.HostSpec) {
	s.hostVersion++
	s.hosts[spec.Name] = host{spec: spec, version: s.hostVersion}
}

// hostsAfter returns the entries that changed after a version, oldest first.
// Version 0 returns every host that is not removed.
func (s *store) hostsAfter(version int64) []host {
	changed := make([]host, 0, len(s.hosts))
	for _, h := range s.hosts {
		if h.version > version && (version > 0 || h.spec.State != cataloger.HostRemoved) {
			changed = append(changed, h)
		}
	}
	slices.SortFunc(changed, func(a, b host) int { return cmp.Compare(a.version, b.version) })
	return changed
}
