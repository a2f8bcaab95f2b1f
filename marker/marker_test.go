package marker

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeder.SetSeed(21)
	os.Exit(m.Run())
}

func newMarker(ids ...uint8) *Marker {
	var secrets []deriver.Secret
	for _, id := range ids {
		secrets = append(secrets, must(deriver.NewSecret(id, bytes.Repeat([]byte{id + 1}, deriver.MinSecretSize))))
	}
	return must(NewMarker(must(deriver.NewKeyRing(secrets[0], secrets[1:]...))))
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func TestMarker(t *testing.T) {
	t.Run("every mark is decoded to itself and survives a key rotation", rapid.MakeCheck(func(t *rapid.T) {
		mark := NewMark(rapid.Uint32().Draw(t, "target"), rapid.Uint64().Draw(t, "incarnation"),
			rapid.Uint16().Draw(t, "service"), rapid.Uint32().Draw(t, "nonce"))
		id := oldMarker.Encode(nil, mark)
		for _, m := range []*Marker{oldMarker, newerMarker} {
			if got, ok := m.Decode(id); !ok || got != mark {
				t.Fatalf("decoded %+v, %v; want %+v", got, ok, mark)
			}
		}
	}))
	t.Run("a changed bit is never taken for a mark", rapid.MakeCheck(func(t *rapid.T) {
		id := oldMarker.Encode(nil, NewMark(rapid.Uint32().Draw(t, "target"), 1, 2, 3))
		bit := rapid.IntRange(0, Size*8-1).Draw(t, "bit")
		id[bit/8] ^= 1 << (bit % 8)
		if _, ok := oldMarker.Decode(id); ok {
			t.Fatal("accepted a modified id")
		}
	}))
	t.Run("marks of a removed key are refused", func(t *testing.T) {
		is := is.New(t)
		_, ok := newMarker(2).Decode(oldMarker.Encode(nil, NewMark(1, 2, 3, 4)))
		is.True(!ok)
	})
	t.Run("observers cannot see the target: marks of one target differ in every block", func(t *testing.T) {
		is := is.New(t)
		a, b := oldMarker.Encode(nil, NewMark(1, 2, 3, 4)), oldMarker.Encode(nil, NewMark(1, 2, 3, 5))
		is.True(!bytes.Equal(a[1:17], b[1:17]))
		is.True(!bytes.Equal(a[17:], b[17:]))
	})
	t.Run("a decoder and an encoder with room do not allocate", func(t *testing.T) {
		is := is.New(t)
		d, id := oldMarker.NewDecoder(), oldMarker.Encode(nil, NewMark(1, 2, 3, 4))
		buffer := make([]byte, 0, Size)
		is.Equal(testing.AllocsPerRun(1000, func() { d.Decode(id) }), 0.0)
		is.Equal(testing.AllocsPerRun(1000, func() { oldMarker.Encode(buffer, NewMark(1, 2, 3, 4)) }), 0.0)
	})
}

var oldMarker, newerMarker = newMarker(1), newMarker(2, 1)

// FuzzDecode guards against panics, against decoding in place, and against an
// accepted id that is not the encoding of its mark.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, id []byte) {
		before := bytes.Clone(id)
		mark, ok := oldMarker.Decode(id)
		if !bytes.Equal(before, id) {
			t.Fatal("decoding modified the id")
		}
		if ok && !bytes.Equal(oldMarker.Encode(nil, mark), id) {
			t.Fatalf("%+v does not encode to the accepted id", mark)
		}
	})
}
