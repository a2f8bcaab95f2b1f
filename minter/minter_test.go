package minter

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

var start = time.Date(2026, 3, 1, 6, 0, 0, 1, time.UTC)

func newMinter(t testing.TB, incarnation uint64, ids ...uint8) *Minter {
	t.Helper()
	m, err := NewMinter(Options{
		Ring: issuer.MustKeyRing(t, ids...), Target: 7, Incarnation: incarnation, Service: 3, Lifetime: 2 * time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func mint(is *is.I, m *Minter) string {
	is.Helper()
	text, err := m.Mint(start)
	is.NoErr(err)
	return text
}

func TestMint(t *testing.T) {
	t.Run("a parsed ticket has the fields of the minter and a fresh serial", func(t *testing.T) {
		is := is.New(t)
		m := newMinter(t, 11, 1)
		for serial := uint64(1); serial <= 3; serial++ {
			ticket, err := m.Parse(mint(is, m))
			is.NoErr(err)
			is.Equal(ticket, NewTicket(7, 11, serial, 3, start.Add(2*time.Minute)))
			is.True(m.IsOwn(ticket))
		}
	})
	t.Run("expiry is never earlier than the lifetime", func(t *testing.T) {
		is := is.New(t)
		m := newMinter(t, 11, 1)
		ticket, err := m.Parse(mint(is, m))
		is.NoErr(err)
		is.True(!ticket.IsExpired(start.Add(2 * time.Minute)))
		is.True(ticket.IsExpired(start.Add(2*time.Minute + time.Second)))
	})
	t.Run("a ticket of the incarnation before a restart is not own", func(t *testing.T) {
		is := is.New(t)
		ticket, err := newMinter(t, 12, 1).Parse(mint(is, newMinter(t, 11, 1)))
		is.NoErr(err)
		is.True(!newMinter(t, 12, 1).IsOwn(ticket))
	})
	t.Run("a lifetime that rounds to nothing and an expiry beyond u32 are refused", func(t *testing.T) {
		is := is.New(t)
		_, err := NewMinter(Options{Ring: issuer.MustKeyRing(t, 1), Lifetime: time.Millisecond})
		is.True(err != nil)
		_, err = newMinter(t, 11, 1).Mint(time.Unix(1<<32, 0))
		is.True(errors.Is(err, ErrExpiryOutOfRange))
	})
}

func TestParse(t *testing.T) {
	t.Run("a key rotation keeps tickets of the previous secret valid", func(t *testing.T) {
		is := is.New(t)
		_, err := newMinter(t, 11, 2, 1).Parse(mint(is, newMinter(t, 11, 1)))
		is.NoErr(err)
	})
	t.Run("a ticket of an unknown secret is refused and not called forged", func(t *testing.T) {
		is := is.New(t)
		_, err := newMinter(t, 11, 2).Parse(mint(is, newMinter(t, 11, 1)))
		is.True(errors.Is(err, ErrUnknownKey))
	})
	t.Run("a ticket with a wrong MAC is forged", func(t *testing.T) {
		is := is.New(t)
		text := mint(is, newMinter(t, 11, 1))
		_, err := newMinter(t, 11, 1).Parse(text[:Size-2] + "AA")
		is.True(errors.Is(err, ErrForged))
	})
	t.Run("no change of one character passes", func(t *testing.T) {
		m := newMinter(t, 11, 1)
		text := mint(is.New(t), m)
		rapid.Check(t, func(t *rapid.T) {
			forged := []byte(text)
			i := rapid.IntRange(0, len(forged)-1).Draw(t, "position")
			forged[i] = rapid.Byte().Filter(func(b byte) bool { return b != text[i] }).Draw(t, "character")
			if _, err := m.Parse(string(forged)); err == nil {
				t.Fatalf("parsed forged ticket %q", forged)
			}
		})
	})
}

// FuzzParse guards against panics and against a ticket with two valid text forms.
func FuzzParse(f *testing.F) {
	m := newMinter(f, 11, 1)
	text, err := m.Mint(start)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:Size-1])
	f.Add(text + "=")
	f.Add(string(bytes.Repeat([]byte{'A'}, Size)))
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := m.Parse(text)
		if err == nil && m.encode(ticket) != text {
			t.Fatalf("%q parses to a ticket with another text form", text)
		}
	})
}
