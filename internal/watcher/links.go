package watcher

import (
	"bytes"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
)

const (
	// maxLinks limits the open links. The tree gives each process 24 children;
	// processes with different host lists can add more.
	maxLinks = 512
	// maxAnnounced is the number of announced heads kept for each peer.
	maxAnnounced = 4
	// minRetryDelay and maxRetryDelay limit the backoff between attempts to
	// connect to a peer.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// outgoingPrefix is the prefix of the ids of links that this process opened.
	outgoingPrefix = "to/"
)

// peer is a process that this one connects to for updates.
type peer struct {
	id          string
	address     netip.AddrPort
	parent      bool
	opening     bool
	failed      bool
	failures    int
	retry       time.Time
	wantedSince time.Time
}

// link is an open stream with a peer, in either direction.
type link struct {
	id       string
	name     string
	parent   bool
	revision uint64
	// announced are the last heads that the peer sent. It can provide their
	// sections.
	announced []keeper.Head
	// sent are the digests of the heads last sent to the peer: accepted, refused
	// and conflicting.
	sent [3]keeper.Hash
	// deltaBase is the accepted head last sent to the peer, the base of the next
	// delta.
	deltaBase   keeper.Head
	sentAt      time.Time
	requestedAt time.Time
	wantsHosts  bool
	// hosts is how new the host list of the peer is.
	hosts        hostPosition
	pendingHosts []hostEntry
}

func (k *link) hasAnnounced(ref keeper.SectionRef) bool {
	for _, h := range k.announced {
		for _, r := range h.Sections() {
			if r.Hash() == ref.Hash() {
				return true
			}
		}
	}
	return false
}

// resetSent makes the next announcement carry all heads in full.
func (k *link) resetSent() { k.sent, k.deltaBase = [3]keeper.Hash{}, keeper.Head{} }

func (k *link) isOutgoing() bool { return strings.HasPrefix(k.id, outgoingPrefix) }

// wantedPeers returns the names of the peers to connect to, each with whether it
// is a parent. Watching processes always use fallbacks, others only while no
// parent responds. Seeds are used only after the platform failed, because a
// whole fleet that starts at once would otherwise connect to the same few
// processes.
func (l *logic) wantedPeers(now time.Time) map[string]bool {
	wanted := make(map[string]bool)
	if l.hostsAttempted && !l.hosts.known || l.orphaned && l.headReadFailed {
		for _, s := range l.seeds {
			wanted[s.String()] = false
		}
	}
	for _, name := range l.position.Parents {
		wanted[name] = true
	}
	if l.isWatching() || l.orphaned && (l.headReadFailed || now.Sub(l.parentHeardAt) > parentTimeout+2*parentTimeoutJitter) {
		for _, name := range l.position.Fallbacks {
			wanted[name] = false
		}
	}
	return wanted
}

func (l *logic) tickPeers(now time.Time) {
	if now.Before(l.started) {
		return
	}
	wanted := l.wantedPeers(now)
	for _, name := range slices.Sorted(maps.Keys(l.peers)) {
		p := l.peers[name]
		if parent, ok := wanted[name]; !ok || parent != p.parent {
			l.effects.disconnect(p.id)
			l.removeLink(p.id)
			delete(l.peers, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		p := l.peers[name]
		if p == nil {
			p = &peer{id: outgoingPrefix + name, parent: wanted[name], wantedSince: now}
			l.peers[name] = p
		}
		if p.opening || l.links[p.id] != nil || now.Before(p.retry) {
			continue
		}
		address, ok := l.hosts.controlAddress(name)
		if seed, err := netip.ParseAddrPort(name); !ok && err == nil {
			address, ok = seed, true
		}
		if !ok {
			p.failed = true
			continue
		}
		p.opening = true
		l.effects.connect(p.id, address)
	}
}

// linkIDs returns the sorted ids of the links, so that test runs with the same
// seed are reproducible. The caller must not modify the slice.
func (l *logic) linkIDs() []string {
	if l.sortedIDs == nil {
		l.sortedIDs = slices.Sorted(maps.Keys(l.links))
	}
	return l.sortedIDs
}

func (l *logic) addLink(k *link) { l.links[k.id], l.sortedIDs = k, nil }

func (l *logic) removeLink(id string) {
	delete(l.links, id)
	l.sortedIDs = nil
}

func (l *logic) peerByLink(id string) *peer {
	return l.peers[strings.TrimPrefix(id, outgoingPrefix)]
}

// linkUp registers an open stream. It returns false if the link is not wanted
// or the limit of links is reached.
func (l *logic) linkUp(now time.Time, id, name string) bool {
	if len(l.links) >= maxLinks {
		return false
	}
	k := &link{id: id, name: name}
	if k.isOutgoing() {
		p := l.peerByLink(id)
		if p == nil || !p.opening {
			return false
		}
		p.opening, p.failures = false, 0
		k.parent = p.parent
	}
	l.addLink(k)
	if k.isOutgoing() {
		k.requestedAt, k.sentAt = now, now
		l.effects.send(id, helloMessage(l.name, l.announcedRevision()))
		l.effects.send(id, hostRequest(l.hosts.hostPosition))
	}
	return true
}

// linkDown handles a stream that ended or could not be opened.
func (l *logic) linkDown(now time.Time, id string) {
	l.removeLink(id)
	if !strings.HasPrefix(id, outgoingPrefix) {
		return
	}
	if p := l.peerByLink(id); p != nil {
		p.opening, p.failed = false, true
		delay := min(minRetryDelay<<min(p.failures, 10), maxRetryDelay)
		p.failures++
		p.retry = now.Add(delay/2 + l.randomDelay(delay/2))
	}
}

// receive handles one message from a peer. An error closes the link.
func (l *logic) receive(now time.Time, id string, message *wirepb.Envelope) error {
	k := l.links[id]
	if k == nil {
		return nil
	}
	switch body := message.GetBody().(type) {
	case *wirepb.Envelope_Hello:
		l.receiveRevision(now, k, body.Hello.GetRevision())
	case *wirepb.Envelope_Head:
		head, err := parseHead(body.Head)
		if err != nil {
			return err
		}
		l.receiveHead(now, k, head)
	case *wirepb.Envelope_HeadDelta:
		return l.receiveDelta(now, k, body.HeadDelta)
	case *wirepb.Envelope_SectionRequest:
		return l.answerSections(k, body.SectionRequest)
	case *wirepb.Envelope_SectionReply:
		return l.receiveSection(now, k, body.SectionReply)
	case *wirepb.Envelope_HostRequest:
		k.wantsHosts = !k.isOutgoing()
		k.hosts = hostPosition{epoch: body.HostRequest.GetAfterEpoch(), version: body.HostRequest.GetAfterVersion()}
		k.resetSent()
		l.sendHosts(now, k)
		l.sendHeads(now, k)
	case *wirepb.Envelope_HostDelta:
		l.receiveHosts(now, k, body.HostDelta)
	}
	return nil
}

// receiveRevision handles a heartbeat. Only parents that have a revision in
// force count as live: others may have no live parent themselves.
func (l *logic) receiveRevision(now time.Time, k *link, revision uint64) {
	k.revision = max(k.revision, revision)
	if k.parent && revision > 0 {
		l.parentHeardAt = now
	}
	own := l.revision()
	knownHead := slices.ContainsFunc(k.announced, func(h keeper.Head) bool { return h.Revision() >= revision })
	if revision > own && !knownHead && now.Sub(k.requestedAt) >= HeartbeatInterval {
		k.requestedAt = now
		l.effects.send(k.id, hostRequest(l.hosts.hostPosition))
	}
	if revision < own {
		if now.Sub(k.sentAt) >= HeartbeatInterval {
			k.resetSent()
		}
		l.sendHeads(now, k)
	}
}

func (l *logic) receiveHead(now time.Time, k *link, head keeper.Head) {
	known := slices.ContainsFunc(k.announced, func(h keeper.Head) bool { return h.Digest() == head.Digest() })
	if !known {
		k.announced = append(k.announced, head)
		if len(k.announced) > maxAnnounced {
			k.announced = slices.Delete(k.announced, 0, 1)
		}
	}
	verdict := l.offer(now, head, k.name)
	if verdict == keeper.Same || verdict == keeper.Accepted || verdict == keeper.Older {
		l.receiveRevision(now, k, head.Revision())
	}
}

// receiveDelta handles the difference from a head that the peer sent before. A
// delta with an unknown base counts as a heartbeat only; the process then
// requests the whole head.
func (l *logic) receiveDelta(now time.Time, k *link, message *wirepb.HeadDelta) error {
	for _, base := range k.announced {
		if digest := base.Digest(); bytes.Equal(digest[:], message.GetBase()) {
			head, err := applyDelta(base, message)
			if err != nil {
				return err
			}
			l.receiveHead(now, k, head)
			return nil
		}
	}
	l.receiveRevision(now, k, message.GetRevision())
	return nil
}

func (l *logic) answerSections(k *link, request *wirepb.SectionRequest) error {
	if len(request.GetSections()) > keeper.MaxSections {
		return fmt.Errorf("answer section request: %d sections: %w", len(request.GetSections()), keeper.ErrMalformed)
	}
	for _, ref := range request.GetSections() {
		hash, err := parseHash(ref)
		if err != nil {
			return err
		}
		content, found := l.keeper.Content(hash)
		var packed []byte
		if found {
			packed = l.compressedSection(hash, content)
		}
		l.effects.send(k.id, sectionReply(ref, content, packed, found))
	}
	return nil
}

func (l *logic) receiveSection(now time.Time, k *link, reply *wirepb.SectionReply) error {
	hash, err := parseHash(reply.GetSection())
	if err != nil {
		return err
	}
	f := l.fetches[hash]
	if f == nil {
		return nil
	}
	content := reply.GetContent()
	if len(reply.GetPacked()) > 0 {
		content, err = decompress(reply.GetPacked(), f.size)
	}
	if err != nil || !reply.GetFound() || keeper.ComputeRef("", content).Hash() != hash {
		if f.source == k.id {
			l.failFetch(now, f)
			l.tickSections(now)
		}
		return nil
	}
	l.storeSection(now, hash, content)
	return nil
}

func (l *logic) receiveHosts(now time.Time, k *link, delta *wirepb.HostDelta) {
	if len(k.pendingHosts)+len(delta.GetHosts()) > maxHosts {
		k.pendingHosts = nil
		return
	}
	k.pendingHosts = append(k.pendingHosts, hostEntries(delta)...)
	if delta.GetToVersion() == 0 {
		return // more messages follow
	}
	c := hostChanges{epoch: delta.GetEpoch(), from: delta.GetFromVersion(), to: delta.GetToVersion(), entries: k.pendingHosts}
	k.pendingHosts = nil
	if to := (hostPosition{epoch: c.epoch, version: c.to}); to.compare(k.hosts) > 0 {
		k.hosts = to
	}
	l.applyHosts(now, c)
}
