package watcher

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// simPlatform simulates the platform in virtual time.
type simPlatform struct {
	sim          *sim
	down         bool
	sections     map[keeper.Hash][]byte
	valid        map[keeper.Hash]bool // whether the head with this digest is valid
	current      simValues
	staleValues  *simValues
	backup       simValues
	hosts        hostTable
	waiting      []*simWatch
	calls        int
	headReads    int
	sectionReads int
	hostReads    int
	// sectionReaders counts section reads by process.
	sectionReaders map[string]int
	// readers counts all calls by process.
	readers map[string]int
	// perSecond counts calls by second of virtual time.
	perSecond map[int64]int
}

type simValues struct {
	head    keeper.Head
	version int64
}

type simWatch struct {
	node  *simNode
	after int64 // head version, or host version of the epoch when hosts is set
	epoch uint64
	hosts bool
	done  bool
}

func (p *simPlatform) count(n *simNode, kind *int) {
	p.calls++
	p.readers[n.name]++
	*kind++
	p.perSecond[p.sim.now.Unix()]++
}

// checkContents refuses revisions with a section whose content is "bad".
func checkContents(_ uint64, sections []keeper.Section) error {
	for _, s := range sections {
		if string(s.Content()) == "bad" {
			return fmt.Errorf("section %s is invalid", s.Ref().Name())
		}
	}
	return nil
}

// publish stores sections and head on the platform.
func (p *simPlatform) publish(revision uint64, contents ...string) keeper.Head {
	refs := make([]keeper.SectionRef, len(contents))
	valid := true
	for i, c := range contents {
		refs[i] = keeper.ComputeRef(fmt.Sprintf("s-%d", i), []byte(c))
		p.sections[refs[i].Hash()] = []byte(c)
		valid = valid && c != "bad"
	}
	head, err := keeper.NewHead(revision, refs)
	if err != nil {
		panic(err)
	}
	p.valid[head.Digest()] = valid
	p.current.version++
	p.current.head = head
	p.answerWatches()
	return head
}

func (p *simPlatform) visible() simValues {
	if p.staleValues != nil {
		return *p.staleValues
	}
	return p.current
}

func (p *simPlatform) setStale(stale bool) {
	p.staleValues = nil
	if stale {
		values := p.current
		p.staleValues = &values
	}
	p.answerWatches()
}

func (p *simPlatform) setDown(down bool) {
	p.down = down
	p.answerWatches()
}

func (p *simPlatform) restoreBackup() {
	p.current = p.backup
	p.answerWatches()
}

func (p *simPlatform) setHost(n *simNode, state string) {
	entry := hostEntry{
		spec: cataloger.HostSpec{
			Name: n.name, Role: cataloger.RoleAgent, AvailabilityZone: n.zone, State: state, ControlAddress: n.address.String(),
		},
		version: p.hosts.version + 1,
	}
	p.hosts.apply(hostChanges{epoch: p.hosts.epoch, from: p.hosts.version, to: entry.version, entries: []hostEntry{entry}})
	p.answerWatches()
}

func (p *simPlatform) copyHosts() hostTable {
	table := p.hosts
	table.entries = maps.Clone(p.hosts.entries)
	return table
}

// restoreHosts makes the platform come back with a copy of its host list.
func (p *simPlatform) restoreHosts(table hostTable) {
	table.epoch = p.hosts.epoch + 1
	p.hosts = table
	p.answerWatches()
}

// answerWatches answers the pending watches that have news or fail.
func (p *simPlatform) answerWatches() {
	for _, w := range p.waiting {
		p.answerWatch(w, false)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w *simWatch) bool { return w.done })
}

// reaches reports whether a process can connect to the platform.
func (p *simPlatform) reaches(n *simNode) bool { return !n.isolated && !n.noPlatform }

// answerWatch answers a call if it has news, fails or has timed out.
func (p *simPlatform) answerWatch(w *simWatch, timedOut bool) {
	if w.done {
		return
	}
	unreachable := !p.reaches(w.node) || p.down
	v := p.visible()
	hasNews := v.version > w.after
	if w.hosts {
		hasNews = p.hosts.compare(hostPosition{epoch: w.epoch, version: uint64(w.after)}) > 0
	}
	if !unreachable && !hasNews && !timedOut {
		return
	}
	w.done = true
	s, n := p.sim, w.node
	if w.hosts {
		r := hostsResult{notModified: !hasNews}
		if unreachable {
			r = hostsResult{err: errUnreachable}
		} else if hasNews {
			r.changes = p.hosts.changesAfter(hostPosition{epoch: w.epoch, version: uint64(w.after)})
		}
		s.deliver(n, s.latency(), func() { n.logic.hostsRead(s.now, r) })
		return
	}
	r := headResult{head: v.head, version: v.version, notModified: !hasNews, missing: v.version == 0}
	if unreachable {
		r = headResult{err: errUnreachable}
	}
	s.deliver(n, s.latency(), func() {
		if n.naive != nil {
			n.naive.headRead(r)
			return
		}
		n.logic.headRead(s.now, r)
	})
}

func (p *simPlatform) read(w *simWatch, wait time.Duration) {
	p.sim.after(p.sim.latency(), func() {
		p.answerWatch(w, wait == 0)
		if !w.done {
			p.waiting = append(p.waiting, w)
			p.sim.after(wait, func() { p.answerWatch(w, true) })
		}
	})
}

func (p *simPlatform) readHead(n *simNode, after int64, wait time.Duration) {
	p.count(n, &p.headReads)
	p.read(&simWatch{node: n, after: after}, wait)
}

func (p *simPlatform) readHosts(n *simNode, after hostPosition, wait time.Duration) {
	p.count(n, &p.hostReads)
	p.read(&simWatch{node: n, epoch: after.epoch, after: int64(after.version), hosts: true}, wait)
}

func (p *simPlatform) readSection(n *simNode, ref keeper.SectionRef) {
	p.count(n, &p.sectionReads)
	p.sectionReaders[n.name]++
	s := p.sim
	content, ok := p.sections[ref.Hash()]
	var err error
	if !ok || p.down || !p.reaches(n) {
		err = errUnreachable
	}
	s.deliver(n, s.latency(), func() { n.logic.sectionRead(s.now, ref, content, err) })
}
