package keeper

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetSeed(20261204)
	os.Exit(m.Run())
}

var errBad = errors.New("bad content")

// refuseBad rejects a revision that has a section with the content "bad".
func refuseBad(_ uint64, sections []Section) error {
	for _, s := range sections {
		if string(s.Content()) == "bad" {
			return errBad
		}
	}
	return nil
}

func mustHead(revision uint64, contents ...string) Head {
	var refs []SectionRef
	for i, c := range contents {
		refs = append(refs, ComputeRef(fmt.Sprintf("s-%d", i), []byte(c)))
	}
	h, err := NewHead(revision, refs)
	if err != nil {
		panic(err)
	}
	return h
}

func assertInForce(t *testing.T, k *Keeper, want Head) {
	t.Helper()
	is := is.New(t)
	head, sections := k.Accepted()
	is.Equal(head.Digest(), want.Digest())
	is.Equal(len(sections), len(want.Sections()))
}

func TestKeeper(t *testing.T) {
	now := time.Unix(0, 0)
	t.Run("a head is in force once its last section is stored", func(t *testing.T) {
		is := is.New(t)
		k := NewKeeper(Options{})
		h := mustHead(1, "a", "b")
		is.Equal(k.Offer(h, "platform", now), Incomplete)
		is.Equal(len(k.Missing()), 2)
		is.Equal(k.Store([]byte("other")), Unchanged)
		is.Equal(k.Store([]byte("a")), Unchanged)
		is.Equal(k.Store([]byte("b")), Accepted)
		assertInForce(t, k, h)
		is.Equal(k.Offer(h, "peer", now), Same)
		is.Equal(k.Source(), "platform")
	})
	t.Run("a change fetches only the section that differs", func(t *testing.T) {
		is := is.New(t)
		k := NewKeeper(Options{})
		k.Offer(mustHead(1, "a", "b"), "p", now)
		k.Store([]byte("a"))
		k.Store([]byte("b"))
		is.Equal(k.Offer(mustHead(2, "a", "c"), "p", now), Incomplete)
		is.Equal(len(k.Missing()), 1)
		is.Equal(k.Store([]byte("c")), Accepted)
		_, kept := k.Content(ComputeRef("", []byte("b")).Hash())
		is.True(!kept) // contents of replaced revisions must not accumulate
	})
	t.Run("a lower revision and the same revision with other content are refused", func(t *testing.T) {
		is := is.New(t)
		k := NewKeeper(Options{})
		k.Offer(mustHead(5, "a"), "p", now)
		k.Store([]byte("a"))
		is.Equal(k.Offer(mustHead(4, "a"), "p", now), Older)
		is.Equal(k.Offer(mustHead(5, "z"), "p", now), Conflict)
		is.Equal(k.Conflicting().Revision(), uint64(5))
		is.Equal(k.Offer(mustHead(6, "a"), "p", now), Accepted)
		is.Equal(k.Conflicting().Revision(), uint64(0))
	})
	t.Run("an invalid revision is refused as a whole and not validated again", func(t *testing.T) {
		is := is.New(t)
		checks := 0
		k := NewKeeper(Options{Check: func(r uint64, s []Section) error { checks++; return refuseBad(r, s) }})
		k.Offer(mustHead(1, "a"), "p", now)
		k.Store([]byte("a"))
		k.Offer(mustHead(2, "a", "bad"), "p", now)
		is.Equal(k.Store([]byte("bad")), Invalid)
		is.Equal(k.Offer(mustHead(2, "a", "bad"), "q", now), Invalid)
		is.Equal(checks, 2)
		assertInForce(t, k, mustHead(1, "a"))
		head, err := k.Refused()
		is.Equal(head.Revision(), uint64(2))
		is.True(errors.Is(err, errBad))
		is.Equal(k.Offer(mustHead(3, "a"), "p", now), Accepted)
		head, _ = k.Refused()
		is.Equal(head.Revision(), uint64(0))
	})
	t.Run("a revision whose sections are lost does not block a lower valid one", func(t *testing.T) {
		is := is.New(t)
		k := NewKeeper(Options{})
		is.Equal(k.Offer(mustHead(9, "lost"), "platform", now), Incomplete)
		is.Equal(k.Offer(mustHead(8, "a"), "peer", now), Incomplete)
		is.Equal(k.Store([]byte("a")), Accepted)
		is.Equal(k.HighestCandidate().Revision(), uint64(9))
	})
	t.Run("the number of incomplete heads is bounded and stale ones are replaced", func(t *testing.T) {
		is := is.New(t)
		k := NewKeeper(Options{})
		for i := range uint64(50) {
			k.Offer(mustHead(1000+i, "lost"), "p", now)
		}
		is.True(len(k.candidates) <= maxCandidates)
		later := now.Add(2 * candidateLifetime)
		k.Offer(mustHead(2, "a"), "p", later)
		is.Equal(k.Store([]byte("a")), Accepted)
	})
	t.Run("a section of another size than the head states makes it invalid", func(t *testing.T) {
		is := is.New(t)
		k := NewKeeper(Options{})
		h, err := NewHead(1, []SectionRef{NewSectionRef("s", ComputeRef("s", []byte("a")).Hash(), 7)})
		is.NoErr(err)
		k.Offer(h, "p", now)
		is.Equal(k.Store([]byte("a")), Invalid)
	})
}

// publication is a published head with the contents of its sections.
type publication struct {
	head     Head
	contents []string
}

func (p publication) isValid() bool { return refuseBad(0, p.sections()) == nil }

func (p publication) sections() []Section {
	var s []Section
	for _, c := range p.contents {
		s = append(s, Section{content: []byte(c)})
	}
	return s
}

// keeperMachine tests one keeper with offers and sections in any order, with
// duplicates, losses and restarts.
type keeperMachine struct {
	keeper           *Keeper
	publications     []publication
	acceptedRevision uint64 // the revision in force, 0 after a restart
	acceptedDigest   Hash
}

func (m *keeperMachine) publish(t *rapid.T) {
	revision := rapid.Uint64Range(1, 12).Draw(t, "revision")
	contents := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "bad"}), 1, 3).Draw(t, "contents")
	m.publications = append(m.publications, publication{mustHead(revision, contents...), contents})
}

func (m *keeperMachine) offer(t *rapid.T) {
	if len(m.publications) == 0 {
		t.Skip("nothing published")
	}
	p := rapid.SampledFrom(m.publications).Draw(t, "publication")
	before, _ := m.keeper.Accepted()
	verdict := m.keeper.Offer(p.head, "p", time.Unix(0, 0))
	switch {
	case p.head.Revision() < before.Revision():
		m.expect(t, verdict, Older)
	case p.head.Digest() == before.Digest():
		m.expect(t, verdict, Same)
	case p.head.Revision() == before.Revision():
		m.expect(t, verdict, Conflict)
	case !p.isValid() && verdict != Incomplete:
		m.expect(t, verdict, Invalid)
	case verdict != Incomplete:
		m.expect(t, verdict, Accepted)
	}
}

func (m *keeperMachine) expect(t *rapid.T, got, want Verdict) {
	if got != want {
		t.Fatalf("got verdict %s, want %s", got, want)
	}
}

func (m *keeperMachine) store(t *rapid.T) {
	m.keeper.Store([]byte(rapid.SampledFrom([]string{"a", "b", "c", "d", "bad", "unknown"}).Draw(t, "content")))
}

func (m *keeperMachine) restart(*rapid.T) {
	m.keeper = NewKeeper(Options{Check: refuseBad})
	m.acceptedRevision, m.acceptedDigest = 0, Hash{}
}

// check asserts that the revision in force never decreases, that the content of
// a revision in force never changes, that it is complete and valid, that no
// complete candidate is left waiting, and that the bounds on memory hold.
func (m *keeperMachine) check(t *rapid.T) {
	head, sections := m.keeper.Accepted()
	if head.Revision() < m.acceptedRevision {
		t.Fatalf("revision %d is in force after revision %d", head.Revision(), m.acceptedRevision)
	}
	if head.Revision() == m.acceptedRevision && head.Digest() != m.acceptedDigest {
		t.Fatalf("content of revision %d changed", m.acceptedRevision)
	}
	m.acceptedRevision, m.acceptedDigest = head.Revision(), head.Digest()
	if len(sections) != len(head.Sections()) || refuseBad(0, sections) != nil {
		t.Fatalf("revision %d is incomplete or invalid in force", head.Revision())
	}
	if len(m.keeper.candidates) > 0 && len(m.keeper.Missing()) == 0 {
		t.Fatalf("complete candidates were not evaluated")
	}
	if len(m.keeper.candidates) > maxCandidates || len(m.keeper.contents) > 3*(maxCandidates+2) {
		t.Fatalf("candidates or contents exceed their bounds")
	}
}

func TestKeeperStateMachine(t *testing.T) {
	t.Run("no order of offers, sections and restarts breaks the invariants", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := &keeperMachine{}
			m.restart(t)
			t.Repeat(map[string]func(*rapid.T){
				"publish": m.publish, "offer": m.offer, "store": m.store, "restart": m.restart, "": m.check,
			})
		})
	})
	t.Run("two orders of the same offers end in the same revision", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := &keeperMachine{}
			for range rapid.IntRange(1, maxCandidates).Draw(t, "publications") {
				m.publish(t)
			}
			revisions := make(map[uint64]bool)
			for range 2 {
				m.restart(t)
				for _, p := range rapid.Permutation(m.publications).Draw(t, "order") {
					m.keeper.Offer(p.head, "p", time.Unix(0, 0))
				}
				for _, c := range rapid.Permutation([]string{"a", "b", "c", "d", "bad"}).Draw(t, "contents") {
					m.keeper.Store([]byte(c))
				}
				head, _ := m.keeper.Accepted()
				revisions[head.Revision()] = true
			}
			if len(revisions) != 1 {
				t.Fatalf("revisions differ: %v", revisions)
			}
		})
	})
}
