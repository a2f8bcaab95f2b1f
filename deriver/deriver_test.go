package deriver

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func newRing(is *is.I, ids ...uint8) *KeyRing {
	is.Helper()
	var secrets []Secret
	for _, id := range ids {
		secret, err := NewSecret(id, bytes.Repeat([]byte{id + 1}, MinSecretSize))
		is.NoErr(err)
		secrets = append(secrets, secret)
	}
	ring, err := NewKeyRing(secrets[0], secrets[1:]...)
	is.NoErr(err)
	return ring
}

func TestDerive(t *testing.T) {
	t.Run("a rotated ring still has the keys of its previous secret", func(t *testing.T) {
		is := is.New(t)
		before, err := newRing(is, 1).Derive("tunnel", 16)
		is.NoErr(err)
		after, err := newRing(is, 2, 1).Derive("tunnel", 16)
		is.NoErr(err)
		is.Equal(after[0].ID(), uint8(2))
		is.Equal(after[1], before[0])
	})
	t.Run("a key of one purpose is no key of another", func(t *testing.T) {
		is := is.New(t)
		ring := newRing(is, 1)
		a, err := ring.Derive("a", 16)
		is.NoErr(err)
		b, err := ring.Derive("b", 16)
		is.NoErr(err)
		is.True(!bytes.Equal(a[0].Bytes(), b[0].Bytes()))
	})
}

func TestNewSecret(t *testing.T) {
	t.Run("short values and large ids are refused", func(t *testing.T) {
		is := is.New(t)
		_, err := NewSecret(1, make([]byte, MinSecretSize-1))
		is.True(err != nil)
		_, err = NewSecret(MaxSecretID+1, make([]byte, MinSecretSize))
		is.True(err != nil)
	})
	t.Run("a duplicate id is refused", func(t *testing.T) {
		is := is.New(t)
		secret, err := NewSecret(1, make([]byte, MinSecretSize))
		is.NoErr(err)
		_, err = NewKeyRing(secret, secret)
		is.True(err != nil)
	})
}
