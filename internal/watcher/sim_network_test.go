package watcher

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// deliver runs do on a process after a delay, unless the process was killed or
// restarted in the meantime.
func (s *sim) deliver(n *simNode, d time.Duration, do func()) {
	generation := n.generation
	s.after(d, func() {
		if n.generation == generation && n.alive {
			s.handle(n, do)
		}
	})
}

func (s *sim) breakNodeLinks(n *simNode) {
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		if p := n.links[id]; p != nil {
			s.breakLink(p)
		}
	}
}

func (s *sim) breakLink(p *simLink) {
	if p.broken {
		return
	}
	p.broken = true
	for i, n := range p.nodes {
		delete(n.links, p.ids[i])
		id := p.ids[i]
		s.deliver(n, s.latency(), func() { n.logic.linkDown(s.now, id) })
	}
}

var errUnreachable = errors.New("unreachable")

func (s *sim) effects(n *simNode) effects {
	return effects{
		readHead:    func(after int64, wait time.Duration) { s.platform.readHead(n, after, wait) },
		readHosts:   func(after hostPosition, wait time.Duration) { s.platform.readHosts(n, after, wait) },
		readSection: func(ref keeper.SectionRef) { s.platform.readSection(n, ref) },
		connect:     func(id string, address netip.AddrPort) { s.connect(n, id, address) },
		disconnect: func(id string) {
			if p := n.links[id]; p != nil {
				s.breakLink(p)
			}
		},
		send:          func(id string, m *wirepb.Envelope) { s.send(n, id, m) },
		reportVerdict: func(keeper.Verdict, keeper.Head, string) {},
	}
}

func (s *sim) connect(n *simNode, id string, address netip.AddrPort) {
	peer := s.byAddress[address]
	fail := func(d time.Duration) { s.deliver(n, d, func() { n.logic.linkDown(s.now, id) }) }
	switch {
	case peer == nil:
		fail(time.Second)
		return
	case !s.connected(n, peer) || peer.paused:
		fail(time.Second)
		return
	case !peer.alive:
		fail(s.latency())
		return
	}
	s.serial++
	p := &simLink{nodes: [2]*simNode{n, peer}, ids: [2]string{id, fmt.Sprintf("from/%s/%d", n.name, s.serial)}}
	for i, end := range p.nodes {
		end.links[p.ids[i]] = p
		name := p.nodes[1-i].name
		s.deliver(end, s.latency(), func() {
			if !p.broken && !end.logic.linkUp(s.now, p.ids[i], name) {
				s.breakLink(p)
			}
		})
		p.lastDelivery[i] = s.now.Add(2 * s.maxDelay) // no message arrives before the link is open
	}
}

func (s *sim) send(n *simNode, id string, m *wirepb.Envelope) {
	p := n.links[id]
	if p == nil || p.broken {
		return
	}
	side := 0
	if p.nodes[1] == n && p.ids[1] == id {
		side = 1
	}
	draw := s.random.Float64()
	if draw < s.faultShare/3 {
		s.breakLink(p) // a stream loses messages only by breaking
		return
	}
	at := s.now.Add(s.latency())
	if draw > s.faultShare*2/3 && at.Before(p.lastDelivery[1-side]) {
		at = p.lastDelivery[1-side] // keep the order, unless this message is duplicated below
	}
	p.lastDelivery[1-side] = at
	s.transmit(p, 1-side, at.Sub(s.now), m)
	if draw < s.faultShare*2/3 && draw >= s.faultShare/3 {
		s.transmit(p, 1-side, s.latency(), m)
	}
}

func (s *sim) transmit(p *simLink, to int, d time.Duration, m *wirepb.Envelope) {
	s.deliver(p.nodes[to], d, func() {
		switch {
		case p.broken:
		case !s.connected(p.nodes[0], p.nodes[1]):
			s.transmit(p, to, 200*time.Millisecond, m)
		case p.nodes[to].logic.receive(s.now, p.ids[to], proto.CloneOf(m)) != nil:
			s.breakLink(p)
		}
	})
}
