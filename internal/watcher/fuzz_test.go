package watcher

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/internal/cataloger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// FuzzReceive guards against messages from a peer that make the logic panic,
// accept content that does not match its hash, or send an unbounded number of
// messages.
func FuzzReceive(f *testing.F) {
	head, err := keeper.NewHead(3, []keeper.SectionRef{keeper.ComputeRef("s", []byte("x"))})
	if err != nil {
		f.Fatal(err)
	}
	hosts := hostMessages(hostChanges{to: 2, entries: []hostEntry{{spec: cataloger.HostSpec{Name: "h"}, version: 2}}})
	for _, m := range []*wirepb.Envelope{
		headMessage(head), sectionRequest(head.Sections()), hostRequest(hostPosition{version: 1}), helloMessage("p", 9), hosts[0],
		sectionReply(refMessages(head.Sections())[0], []byte("x"), nil, true),
		sectionReply(refMessages(head.Sections())[0], nil, compress(bytes.Repeat([]byte("x"), 99)), true), headDelta(head, head),
		{},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, b)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		sent := 0
		s := newSim(1)
		n := s.addNode("a")
		e := s.effects(n)
		e.send = func(string, *wirepb.Envelope) { sent++ }
		l := newLogic(logicOptions{name: "x", zone: "a", random: func() float64 { return 0 }, check: checkContents, effects: e}, s.now)
		l.linkUp(s.now, "from/p/1", "p")
		for _, b := range [][]byte{first, second} {
			var m wirepb.Envelope
			if proto.Unmarshal(b, &m) != nil {
				return
			}
			if err := l.receive(s.now, "from/p/1", &m); err != nil && !errors.Is(err, keeper.ErrMalformed) {
				t.Fatal(err)
			}
			l.tick(s.now.Add(time.Second))
		}
		_, sections := l.keeper.Accepted()
		for _, c := range sections {
			if keeper.ComputeRef("", c.Content()).Hash() != c.Ref().Hash() {
				t.Fatal("content does not match its hash")
			}
		}
		if sent > 2*keeper.MaxSections+10 {
			t.Fatalf("%d answers to two messages", sent)
		}
	})
}

// FuzzJoinFleet guards against a panic of the section decoder and against content
// that one process accepts and another one refuses because its sections arrived
// in another order.
func FuzzJoinFleet(f *testing.F) {
	f.Add([]byte(`{"defaults":{"slots":2}}`), []byte(`{"services":[{"name":"a","number":1}]}`))
	f.Add([]byte(`[]`), []byte(`{"services":[{"number":-1}]}`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		head, err := keeper.NewHead(1, []keeper.SectionRef{keeper.ComputeRef("a", a), keeper.ComputeRef("b", b)})
		if err != nil {
			t.Fatal(err)
		}
		var j joiner
		check := func(revision uint64, sections []keeper.Section) error {
			fleet, err := j.join(revision, sections)
			if err != nil {
				return err
			}
			_, err = cataloger.NewSnapshot(fleet, nil)
			return err
		}
		var verdicts [2]keeper.Verdict
		for i, order := range [][2][]byte{{a, b}, {b, a}} {
			k := keeper.NewKeeper(keeper.Options{Check: check})
			k.Offer(head, "p", time.Time{})
			for _, content := range order {
				if v := k.Store(content); v != keeper.Unchanged {
					verdicts[i] = v
				}
			}
		}
		if verdicts[0] != verdicts[1] || verdicts[0] == keeper.Unchanged {
			t.Fatalf("verdicts differ: %v", verdicts)
		}
	})
}
