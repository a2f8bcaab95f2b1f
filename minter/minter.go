// Package minter issues and verifies the tickets that callers attach to
// requests that must not be executed twice.
//
// A ticket is an idempotency key that an agent issues and authenticates with a
// MAC. It names the agent incarnation that issued it, and only that incarnation
// may start the request. An agent that restarts gets a new incarnation, so it
// never starts a request whose ticket belongs to a journal that it has lost.
//
// A ticket has a fixed layout: version u8, key id u8, target u32, incarnation
// u64, serial u64, expiry u32 in Unix seconds, service u16 and the first 16
// bytes of an HMAC-SHA-256 (RFC 2104), all big endian, encoded as base64url
// without padding (RFC 4648, section 5).
//
// # Usage
//
//	m, err := minter.NewMinter(minter.Options{
//		Ring: ring, Target: 7, Incarnation: 1, Service: 3, Lifetime: 2 * time.Minute,
//	})
//	text, err := m.Mint(now)
//	ticket, err := m.Parse(text)
//	if m.IsOwn(ticket) && !ticket.IsExpired(now) {
//		// the journal decides whether the request starts
//	}
package minter

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"math"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/deriver"
)

const (
	version     = 1
	payloadSize = 28
	macSize     = 16
	ticketSize  = payloadSize + macSize
)

// Size is the length of a ticket in characters.
const Size = (ticketSize*8 + 5) / 6

// ErrMalformed reports a text that does not have the form of a ticket.
var ErrMalformed = merry.New("ticket is malformed")

// ErrForged reports a ticket whose MAC does not match. No agent that has the key
// can have issued or accepted it.
var ErrForged = merry.New("ticket is forged")

// ErrUnknownKey reports a ticket whose key id is not in the key ring. The
// ticket may be genuine, for example issued before a key rotation.
var ErrUnknownKey = merry.New("ticket has an unknown key")

// ErrExpiryOutOfRange reports that the expiry does not fit into the u32 field
// of a ticket.
var ErrExpiryOutOfRange = merry.New("ticket expiry is out of range")

// encoding is strict (it rejects nonzero trailing bits), so that a ticket has
// exactly one text form.
var encoding = base64.RawURLEncoding.Strict()

// Options are the parameters of a Minter.
type Options struct {
	// Ring is the key ring from which the MAC keys are derived.
	Ring *deriver.KeyRing
	// Target is the number of the issuing agent's target.
	Target uint32
	// Incarnation is the incarnation of the issuing agent.
	Incarnation uint64
	// Service is the number of the agent's service.
	Service uint16
	// Lifetime is the time from issue to expiry, at least one second.
	Lifetime time.Duration
}

// Minter issues the tickets of one agent incarnation. It is safe for
// concurrent use.
type Minter struct {
	options Options
	keys    []deriver.Key
	serial  atomic.Uint64
}

// NewMinter returns a minter. It fails when the lifetime is below one second
// or the keys cannot be derived.
func NewMinter(o Options) (*Minter, error) {
	if o.Lifetime < time.Second {
		return nil, merry.Errorf("check ticket lifetime: %s is below 1 s", o.Lifetime)
	}
	keys, err := o.Ring.Derive("ticket", sha256.Size)
	if err != nil {
		return nil, merry.Prepend(err, "derive ticket keys")
	}
	return &Minter{options: o, keys: keys}, nil
}

// Ticket is the content of a ticket. Parse returns one only after verifying its
// MAC.
type Ticket struct {
	target      uint32
	incarnation uint64
	serial      uint64
	expiry      uint32
	service     uint16
}

// NewTicket returns a ticket with the given fields, for tests and for records
// that are not sent over the network. The expiry is rounded up to full seconds.
func NewTicket(target uint32, incarnation, serial uint64, service uint16, expiry time.Time) Ticket {
	return Ticket{target: target, incarnation: incarnation, serial: serial, service: service, expiry: roundUp(expiry)}
}

// Target returns the number of the target whose agent issued the ticket.
func (t Ticket) Target() uint32 { return t.target }

// Incarnation returns the incarnation of the agent that issued the ticket.
func (t Ticket) Incarnation() uint64 { return t.incarnation }

// Serial returns the number of the ticket within its incarnation, from 1.
func (t Ticket) Serial() uint64 { return t.serial }

// Service returns the number of the service.
func (t Ticket) Service() uint16 { return t.service }

// Expiry returns the time from which on the ticket is expired.
func (t Ticket) Expiry() time.Time { return time.Unix(int64(t.expiry), 0) }

// IsExpired reports whether the ticket has expired, so that it can no longer
// start a request.
func (t Ticket) IsExpired(now time.Time) bool { return !now.Before(t.Expiry()) }

// Mint issues a ticket in its text form. It fails with ErrExpiryOutOfRange when
// the expiry does not fit into a ticket.
func (m *Minter) Mint(now time.Time) (string, error) {
	expires := now.Add(m.options.Lifetime)
	if expires.Unix() < 0 || expires.Unix() >= math.MaxUint32 {
		return "", merry.Prependf(ErrExpiryOutOfRange, "mint ticket that expires at %s", expires)
	}
	return m.encode(Ticket{
		target: m.options.Target, incarnation: m.options.Incarnation, serial: m.serial.Add(1),
		service: m.options.Service, expiry: roundUp(expires),
	}), nil
}

// Parse decodes a ticket and verifies its MAC. The errors are ErrMalformed,
// ErrForged and ErrUnknownKey. It does not check the expiry, service and
// incarnation; that is up to the caller.
func (m *Minter) Parse(text string) (Ticket, error) {
	if len(text) != Size {
		return Ticket{}, merry.Prependf(ErrMalformed, "parse ticket: %d characters", len(text))
	}
	b, err := encoding.DecodeString(text)
	if err != nil {
		return Ticket{}, merry.Prepend(ErrMalformed, "decode ticket")
	}
	if b[0] != version {
		return Ticket{}, merry.Prependf(ErrMalformed, "parse ticket: unknown version %d", b[0])
	}
	for _, k := range m.keys {
		if k.ID() != b[1] {
			continue
		}
		if !hmac.Equal(sign(k, b[:payloadSize]), b[payloadSize:]) {
			return Ticket{}, merry.Prepend(ErrForged, "verify ticket")
		}
		return Ticket{
			target:      binary.BigEndian.Uint32(b[2:]),
			incarnation: binary.BigEndian.Uint64(b[6:]),
			serial:      binary.BigEndian.Uint64(b[14:]),
			expiry:      binary.BigEndian.Uint32(b[22:]),
			service:     binary.BigEndian.Uint16(b[26:]),
		}, nil
	}
	return Ticket{}, merry.Prependf(ErrUnknownKey, "verify ticket: key id %d", b[1])
}

// IsOwn reports whether this agent incarnation issued the ticket.
func (m *Minter) IsOwn(t Ticket) bool {
	return t.target == m.options.Target && t.incarnation == m.options.Incarnation
}

// encode returns the text form of a ticket, signed with the current key.
func (m *Minter) encode(t Ticket) string {
	b := make([]byte, 0, ticketSize)
	b = append(b, version, m.keys[0].ID())
	b = binary.BigEndian.AppendUint32(b, t.target)
	b = binary.BigEndian.AppendUint64(b, t.incarnation)
	b = binary.BigEndian.AppendUint64(b, t.serial)
	b = binary.BigEndian.AppendUint32(b, t.expiry)
	b = binary.BigEndian.AppendUint16(b, t.service)
	b = append(b, sign(m.keys[0], b)...)
	return encoding.EncodeToString(b)
}

// sign returns the first macSize bytes of the HMAC-SHA-256 of a payload.
func sign(key deriver.Key, payload []byte) []byte {
	h := hmac.New(sha256.New, key.Bytes())
	h.Write(payload)
	return h.Sum(nil)[:macSize]
}

// roundUp returns a time in Unix seconds, so that a ticket never expires before
// its lifetime has passed.
func roundUp(t time.Time) uint32 {
	seconds := t.Unix()
	if t.Nanosecond() > 0 {
		seconds++
	}
	return uint32(seconds)
}
