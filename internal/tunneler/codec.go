package tunneler

import (
	"crypto/subtle"
	"encoding/binary"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/dchest/siphash"

	"kingcupvalve.example/kingcupvalve/deriver"
)

// Errors of Decode. They are returned unwrapped, so that an invalid datagram does
// not cause an allocation.
var (
	ErrShort     = merry.Sentinel("decode tunnel header: datagram too short")
	ErrSignature = merry.Sentinel("decode tunnel header: no PROXY version 2 signature")
	ErrCommand   = merry.Sentinel("decode tunnel header: command or address family not supported")
	ErrField     = merry.Sentinel("decode tunnel header: malformed or missing field")
	ErrKey       = merry.Sentinel("decode tunnel header: unknown key")
	ErrMAC       = merry.Sentinel("decode tunnel header: wrong MAC")
)

// signature starts every header of PROXY protocol version 2 (section 2.2 of its
// specification).
const signature = "\r\n\r\n\x00\r\nQUIT\n"

const (
	commandLocal = 0x20
	commandProxy = 0x21
	familyNone   = 0x00
	familyIPv4   = 0x12
	familyIPv6   = 0x22

	proxyHeaderSize = 16

	fieldService     = 0xE0
	fieldHops        = 0xE1
	fieldRevision    = 0xE2
	fieldFlags       = 0xE3
	fieldIncarnation = 0xE4
	fieldMAC         = 0xE5
	// fieldTarget is optional; only the announcement of a suspected target has
	// it.
	fieldTarget = 0xE6

	fieldHeaderSize = 3
	macSize         = 8
	fieldsSize      = 6*fieldHeaderSize + 2 + 1 + 8 + 1 + 8 + 1 + macSize

	targetFieldSize = fieldHeaderSize + 4

	// maxDecodeSize is the size in bytes of the largest header that Decode
	// accepts. It leaves room for fields that a later version may add.
	maxDecodeSize  = 256
	requiredFields = 1<<6 - 1
)

type macKey struct {
	valid bool
	k0    uint64
	k1    uint64
}

// Codec encodes headers with the current key of the key ring and decodes headers
// of all its keys. It is safe for concurrent use.
type Codec struct {
	current uint8
	keys    [deriver.MaxSecretID + 1]macKey
}

// NewCodec derives the MAC keys of tunnel headers from a key ring.
func NewCodec(ring *deriver.KeyRing) (*Codec, error) {
	keys, err := ring.Derive("tunnel mac", 16)
	if err != nil {
		return nil, merry.Prepend(err, "build tunnel codec")
	}
	c := &Codec{current: keys[0].ID()}
	for _, k := range keys {
		b := k.Bytes()
		c.keys[k.ID()] = macKey{valid: true, k0: binary.LittleEndian.Uint64(b), k1: binary.LittleEndian.Uint64(b[8:])}
	}
	return c, nil
}

// Encode appends a header and a payload to dst.
func (c *Codec) Encode(dst []byte, h Header, payload []byte) []byte {
	return append(c.AppendHeader(dst, h), payload...)
}

// AppendHeader appends the encoded header, Header.Size bytes, to dst. It does not
// allocate if dst has enough capacity.
func (c *Codec) AppendHeader(dst []byte, h Header) []byte {
	start := len(dst)
	command, family := byte(commandProxy), byte(familyIPv6)
	switch {
	case h.IsLocal():
		command, family = commandLocal, familyNone
	case h.isIPv4():
		family = familyIPv4
	}
	dst = append(dst, signature...)
	dst = append(dst, command, family)
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.Size()-proxyHeaderSize))
	switch family {
	case familyIPv4:
		source, destination := h.Source.Addr().Unmap().As4(), h.Destination.Addr().Unmap().As4()
		dst = append(append(dst, source[:]...), destination[:]...)
	case familyIPv6:
		source, destination := h.Source.Addr().As16(), h.Destination.Addr().As16()
		dst = append(append(dst, source[:]...), destination[:]...)
	}
	if family != familyNone {
		dst = binary.BigEndian.AppendUint16(dst, h.Source.Port())
		dst = binary.BigEndian.AppendUint16(dst, h.Destination.Port())
	}
	dst = append(dst, fieldService, 0, 2)
	dst = binary.BigEndian.AppendUint16(dst, h.Service)
	dst = append(dst, fieldHops, 0, 1, h.Hops)
	dst = append(dst, fieldRevision, 0, 8)
	dst = binary.BigEndian.AppendUint64(dst, h.Revision)
	dst = append(dst, fieldFlags, 0, 1, byte(h.Flags))
	dst = append(dst, fieldIncarnation, 0, 8)
	dst = binary.BigEndian.AppendUint64(dst, h.Incarnation)
	if h.Target != 0 {
		dst = append(dst, fieldTarget, 0, 4)
		dst = binary.BigEndian.AppendUint32(dst, h.Target)
	}
	dst = append(dst, fieldMAC, 0, 1+macSize, c.current)
	dst = binary.BigEndian.AppendUint64(dst, 0)
	k := &c.keys[c.current]
	binary.BigEndian.PutUint64(dst[len(dst)-macSize:], siphash.Hash(k.k0, k.k1, dst[start:]))
	return dst
}

// Decode returns the header of a datagram and its payload, which shares memory
// with b. Fields of unknown type are ignored. Every known field must be present
// exactly once with its exact size, except the target, which is optional. The MAC
// field must be the last one.
func (c *Codec) Decode(b []byte) (Header, []byte, error) {
	var h Header
	if len(b) < proxyHeaderSize {
		return h, nil, ErrShort
	}
	if string(b[:len(signature)]) != signature {
		return h, nil, ErrSignature
	}
	size := proxyHeaderSize + int(binary.BigEndian.Uint16(b[14:]))
	if size > len(b) {
		return h, nil, ErrShort
	}
	if size > maxDecodeSize {
		return h, nil, ErrField
	}
	fields := b[proxyHeaderSize:size]
	switch {
	case b[12] == commandLocal && b[13] == familyNone:
	case b[12] == commandProxy && b[13] == familyIPv4 && len(fields) >= 12:
		h.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(fields)), binary.BigEndian.Uint16(fields[8:]))
		h.Destination = netip.AddrPortFrom(netip.AddrFrom4([4]byte(fields[4:])), binary.BigEndian.Uint16(fields[10:]))
		fields = fields[12:]
	case b[12] == commandProxy && b[13] == familyIPv6 && len(fields) >= 36:
		h.Source = netip.AddrPortFrom(netip.AddrFrom16([16]byte(fields)), binary.BigEndian.Uint16(fields[32:]))
		h.Destination = netip.AddrPortFrom(netip.AddrFrom16([16]byte(fields[16:])), binary.BigEndian.Uint16(fields[34:]))
		fields = fields[36:]
	default:
		return h, nil, ErrCommand
	}
	mac, err := h.decodeFields(fields)
	if err != nil {
		return Header{}, nil, err
	}
	if err := c.verify(b[:size], mac); err != nil {
		return Header{}, nil, err
	}
	return h, b[size:], nil
}

// decodeFields reads the type-length-value fields and returns the value of the
// MAC field.
func (h *Header) decodeFields(fields []byte) ([]byte, error) {
	seen := 0
	for len(fields) > 0 {
		if len(fields) < fieldHeaderSize {
			return nil, ErrField
		}
		kind, size := fields[0], int(binary.BigEndian.Uint16(fields[1:]))
		if len(fields) < fieldHeaderSize+size {
			return nil, ErrField
		}
		value := fields[fieldHeaderSize : fieldHeaderSize+size]
		fields = fields[fieldHeaderSize+size:]
		if kind < fieldService || kind > fieldTarget {
			continue
		}
		bit := 1 << (kind - fieldService)
		if seen&bit != 0 || size != int(fieldSizes[kind-fieldService]) {
			return nil, ErrField
		}
		seen |= bit
		switch kind {
		case fieldService:
			h.Service = binary.BigEndian.Uint16(value)
		case fieldHops:
			h.Hops = value[0]
		case fieldRevision:
			h.Revision = binary.BigEndian.Uint64(value)
		case fieldFlags:
			h.Flags = Flags(value[0])
		case fieldIncarnation:
			h.Incarnation = binary.BigEndian.Uint64(value)
		case fieldMAC:
			if len(fields) > 0 || seen&requiredFields != requiredFields {
				return nil, ErrField
			}
			return value, nil
		case fieldTarget:
			h.Target = binary.BigEndian.Uint32(value)
		}
	}
	return nil, ErrField
}

// fieldSizes are the sizes in bytes of the values of types 0xE0 to 0xE6.
var fieldSizes = [7]uint8{2, 1, 8, 1, 8, 1 + macSize, 4}

// verify checks the MAC at the end of the header in constant time.
func (c *Codec) verify(header, mac []byte) error {
	id := mac[0]
	if int(id) >= len(c.keys) || !c.keys[id].valid {
		return ErrKey
	}
	var scratch [maxDecodeSize]byte
	n := copy(scratch[:], header[:len(header)-macSize]) + macSize
	var want [macSize]byte
	binary.BigEndian.PutUint64(want[:], siphash.Hash(c.keys[id].k0, c.keys[id].k1, scratch[:n]))
	if subtle.ConstantTimeCompare(want[:], mac[1:]) != 1 {
		return ErrMAC
	}
	return nil
}
