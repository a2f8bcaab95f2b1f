package framer

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/selector"
)

func TestProgress(t *testing.T) {
	t.Run("a search that has not started is above every rank", func(t *testing.T) {
		is := is.New(t)
		m := Mark{Progress: StartProgress}
		is.Equal(m.Rank(), uint32(selector.StartRank))
		is.Equal(m.Pass(), FirstPass)
	})
	// Guards against searches that visit a target twice or never end because the
	// encoding of a rank is lossy.
	t.Run("a search continues at its rank or just below, in the same pass", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			rank := rapid.Uint32Range(0, selector.StartRank-1).Draw(t, "rank")
			pass := rapid.SampledFrom([]Pass{FirstPass, PartialPass, SecondPass, FullPass}).Draw(t, "pass")
			m := Mark{Progress: NewProgress(rank, pass)}
			if m.Progress == StartProgress {
				t.Skip("the highest rank in a full pass encodes to StartProgress")
			}
			if m.Rank() > rank || rank-m.Rank() > 1 || m.Pass() != pass {
				t.Fatalf("rank %d pass %d was decoded as rank %d pass %d", rank, pass, m.Rank(), m.Pass())
			}
		})
	})
	t.Run("a full pass follows a partial pass", func(t *testing.T) {
		is := is.New(t)
		is.Equal(FirstPass.Partial().Next(), FullPass)
		is.Equal(FirstPass.Next(), SecondPass)
		is.Equal(PartialPass.Partial(), PartialPass)
		is.True(!PartialPass.IsSecond() && SecondPass.IsSecond() && FullPass.IsSecond())
	})
}
