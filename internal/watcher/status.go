package watcher

// Status is the state of the configuration of one process.
type Status struct {
	ready               bool
	revision            uint64
	source              string
	refusedInvalid      uint64
	refusedReason       string
	refusedConflict     uint64
	platformRevision    uint64
	platformUnreachable bool
	rank                int
	watching            bool
	orphaned            bool
	hostVersion         uint64
	hosts               int
}

// IsReady reports whether the process has put the highest revision that it
// learned of at start in force.
func (s Status) IsReady() bool { return s.ready }

// Revision returns the revision in force, 0 for none.
func (s Status) Revision() uint64 { return s.revision }

// Source returns "platform" or the name of the peer that first announced the
// revision in force.
func (s Status) Source() string { return s.source }

// RefusedInvalid returns a revision above the one in force that was refused
// because its content is invalid, and the reason. The revision is 0 if there is
// none.
func (s Status) RefusedInvalid() (revision uint64, reason string) {
	return s.refusedInvalid, s.refusedReason
}

// RefusedConflict returns the revision in force if different content was
// published under the same number, otherwise 0.
func (s Status) RefusedConflict() uint64 { return s.refusedConflict }

// RefusedRevision returns the highest revision that was refused for either
// reason, or 0.
func (s Status) RefusedRevision() uint64 { return max(s.refusedInvalid, s.refusedConflict) }

// PlatformRevision returns the revision of the last head that this process read
// from the platform, 0 if it has read none.
func (s Status) PlatformRevision() uint64 { return s.platformRevision }

// IsPlatformStale reports whether PlatformRevision is lower than the revision in
// force.
func (s Status) IsPlatformStale() bool {
	return s.platformRevision > 0 && s.platformRevision < s.revision
}

// IsPlatformUnreachable reports whether the last read of the head from the
// platform failed.
func (s Status) IsPlatformUnreachable() bool { return s.platformUnreachable }

// Rank returns the rank of the process in its availability zone, from 0.
func (s Status) Rank() int { return s.rank }

// IsWatching reports whether the process watches the platform.
func (s Status) IsWatching() bool { return s.watching }

// IsOrphaned reports whether no parent of the process has responded for 3 s, so
// that it reads the platform itself.
func (s Status) IsOrphaned() bool { return s.orphaned }

// HostVersion returns the version of the host list and its number of entries.
func (s Status) HostVersion() (version uint64, hosts int) { return s.hostVersion, s.hosts }

// Conditions returns the names of the conditions that hold, as used in status
// reports: in_force, refused_invalid, refused_conflict, platform_stale,
// platform_unreachable.
func (s Status) Conditions() []string {
	var names []string
	for _, c := range []struct {
		holds bool
		name  string
	}{
		{s.ready && s.revision > 0, "in_force"},
		{s.refusedInvalid > 0, "refused_invalid"},
		{s.refusedConflict > 0, "refused_conflict"},
		{s.IsPlatformStale(), "platform_stale"},
		{s.platformUnreachable, "platform_unreachable"},
	} {
		if c.holds {
			names = append(names, c.name)
		}
	}
	return names
}

func (l *logic) status() Status {
	s := Status{
		ready: l.ready, revision: l.revision(), source: l.keeper.Source(),
		refusedConflict: l.keeper.Conflicting().Revision(), platformRevision: l.platformRevision,
		platformUnreachable: l.headReadFailed, rank: l.position.Rank, watching: l.isWatching(), orphaned: l.orphaned,
		hostVersion: l.hosts.version, hosts: len(l.hosts.entries),
	}
	if head, err := l.keeper.Refused(); head.Revision() > 0 {
		s.refusedInvalid = head.Revision()
		if err != nil {
			s.refusedReason = err.Error()
		}
	}
	return s
}
