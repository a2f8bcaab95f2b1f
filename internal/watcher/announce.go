package watcher

import (
	"time"

	"kingcupvalve.example/kingcupvalve/keeper"
)

// announce sends every peer the heads that it has not been sent yet.
func (l *logic) announce(now time.Time) {
	for _, id := range l.linkIDs() {
		l.sendHeads(now, l.links[id])
	}
}

// sendHeads sends one peer the head in force and the refused and conflicting
// ones, so that every process refuses and reports them. A peer that this process
// connected to is sent heads only if its revision is lower.
func (l *logic) sendHeads(now time.Time, k *link) {
	if !l.ready {
		return
	}
	accepted := l.keeper.Head()
	if k.isOutgoing() && k.revision >= accepted.Revision() {
		return
	}
	refused, _ := l.keeper.Refused()
	for i, h := range [3]keeper.Head{accepted, refused, l.keeper.Conflicting()} {
		if h.Revision() == 0 || k.sent[i] == h.Digest() {
			continue
		}
		k.sent[i], k.sentAt = h.Digest(), now
		message := headMessage(h)
		if i == 0 {
			// A whole head takes about 3 KB, a delta about 150 bytes.
			if k.deltaBase.Revision() > 0 {
				message = headDelta(k.deltaBase, h)
			}
			k.deltaBase = h
		}
		l.effects.send(k.id, message)
	}
}

func (l *logic) sendHosts(now time.Time, k *link) {
	if !k.wantsHosts || !l.hosts.known || k.hosts.compare(l.hosts.hostPosition) >= 0 {
		return
	}
	for _, m := range hostMessages(l.hosts.changesAfter(k.hosts)) {
		l.effects.send(k.id, m)
	}
	k.hosts, k.sentAt = l.hosts.hostPosition, now
}

// tickHeartbeats sends heartbeats to the peers that connected to this process. A
// peer that missed a head sees the revision and requests the head again, and one
// with a higher revision sends it back. The name is omitted, because the Hello at
// the opening carried it.
func (l *logic) tickHeartbeats(now time.Time) {
	for _, id := range l.linkIDs() {
		k := l.links[id]
		if !k.isOutgoing() && now.Sub(k.sentAt) >= HeartbeatInterval {
			k.sentAt = now
			l.effects.send(k.id, helloMessage("", l.announcedRevision()))
		}
	}
}
