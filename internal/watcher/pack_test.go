package watcher

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
)

// TestPack guards against compressed data from a peer that expands beyond the
// section size stated in the head.
func TestPack(t *testing.T) {
	content := bytes.Repeat([]byte(`{"name":"t-1","state":"serving"},`), 400)
	t.Run("a compressed section is shorter and decompresses to the original", func(t *testing.T) {
		is := is.New(t)
		packed := compress(content)
		is.True(len(packed) > 0 && len(packed) < len(content)/10)
		got, err := decompress(packed, uint64(len(content)))
		is.NoErr(err)
		is.True(bytes.Equal(got, content))
	})
	t.Run("content that compression does not shorten is sent uncompressed", func(t *testing.T) {
		is.New(t).Equal(compress([]byte("x")), nil)
	})
	t.Run("no more than the stated size is decompressed", func(t *testing.T) {
		is := is.New(t)
		packed := compress(bytes.Repeat([]byte("x"), 64<<20))
		for _, size := range []uint64{0, 1, uint64(len(content)), keeper.MaxSectionBytes} {
			got, err := decompress(packed, size)
			is.True(err != nil)
			is.Equal(len(got), 0)
		}
		_, err := decompress(packed, 64<<20)
		is.True(errors.Is(err, keeper.ErrMalformed))
	})
}

// TestHeadDelta guards against a delta that yields another head than the one
// announced.
func TestHeadDelta(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := func(revision uint64) keeper.Head {
			names := rapid.SliceOfNDistinct(rapid.StringMatching("[a-d]"), 1, 4, rapid.ID[string]).Draw(r, "names")
			var refs []keeper.SectionRef
			for _, name := range names {
				refs = append(refs, keeper.ComputeRef(name, rapid.SliceOfN(rapid.Byte(), 1, 1).Draw(r, "content")))
			}
			head, err := keeper.NewHead(revision, refs)
			if err != nil {
				r.Fatal(err)
			}
			return head
		}
		base, next := draw(1), draw(2)
		delta := headDelta(base, next).GetHeadDelta()
		got, err := applyDelta(base, delta)
		if err != nil || got.Digest() != next.Digest() {
			r.Fatalf("delta gives %v, %v", got, err)
		}
		if other := draw(1); other.Digest() != base.Digest() {
			if got, err := applyDelta(other, delta); err == nil && got.Digest() != next.Digest() {
				r.Fatal("delta on another base gives a wrong head")
			}
		}
	})
	t.Run("a delta with an unknown base makes the process request the whole head", func(t *testing.T) {
		is := is.New(t)
		s := newSim(1)
		n := s.addNode("a")
		var sent []*wirepb.Envelope
		e := s.effects(n)
		e.send = func(_ string, m *wirepb.Envelope) { sent = append(sent, m) }
		l := newLogic(logicOptions{name: "x", zone: "a", random: func() float64 { return 0 }, check: checkContents, effects: e}, s.now)
		l.linkUp(s.now, "from/p/1", "p")
		base, err := keeper.NewHead(1, []keeper.SectionRef{keeper.ComputeRef("a", []byte("1"))})
		is.NoErr(err)
		next, err := keeper.NewHead(2, []keeper.SectionRef{keeper.ComputeRef("a", []byte("2"))})
		is.NoErr(err)
		is.NoErr(l.receive(s.now, "from/p/1", headDelta(base, next)))
		is.Equal(len(sent), 1)
		is.True(sent[0].GetHostRequest() != nil)
		is.NoErr(l.receive(s.now, "from/p/1", headMessage(base)))
		is.NoErr(l.receive(s.now, "from/p/1", headDelta(base, next)))
		candidate := l.keeper.HighestCandidate()
		is.Equal(candidate.Digest(), next.Digest())
	})
}
