// Package marker encodes and decodes marks: the routing information that agents
// put into the QUIC connection IDs they issue, so that any balancer can tell
// from a single packet, without state, which target holds the connection.
//
// A mark has 20 bytes: one byte with key id and format version, one AES-128
// block, and a 24-bit tag. The block holds the target, the incarnation, the
// service, a nonce and a copy of the tag. The tag is the SipHash-2-4 of the
// first byte and the fields of the block, truncated to 24 bits; the copy outside
// of the block is not encrypted. Encryption hides the target from observers
// (compare the QUIC-LB draft, section 5.4).
//
// # Usage
//
//	m, err := marker.NewMarker(ring)
//	id := m.Encode(nil, marker.NewMark(target, incarnation, service, nonce))
//	mark, ok := m.Decode(id)
//
// A goroutine that decodes many packets should use a Decoder of its own, which
// avoids the shared pool of Marker.Decode.
package marker

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/dchest/siphash"

	"kingcupvalve.example/kingcupvalve/deriver"
)

// Size is the length of a mark in bytes, which is also the longest connection
// ID of QUIC version 1 (RFC 9000, section 17.2).
const Size = 20

// IncarnationMask selects the low bits of an incarnation, which a mark holds.
const IncarnationMask = 1<<24 - 1

const (
	formatVersion = 1
	keySize       = 16
	// taggedSize is the number of leading bytes that the tag covers.
	taggedSize = 1 + aes.BlockSize - tagSize
	tagSize    = 3
	keyIDCount = deriver.MaxSecretID + 1
)

// Mark is the routing information in a connection ID.
type Mark struct {
	target      uint32
	incarnation uint32
	service     uint16
	nonce       uint32
}

// NewMark returns a mark. Only the low 24 bits of the incarnation are kept.
func NewMark(target uint32, incarnation uint64, service uint16, nonce uint32) Mark {
	return Mark{target: target, incarnation: uint32(incarnation & IncarnationMask), service: service, nonce: nonce}
}

// Target returns the number of the target whose agent issued the mark.
func (m Mark) Target() uint32 { return m.target }

// Incarnation returns the low 24 bits of the issuing agent's incarnation.
func (m Mark) Incarnation() uint32 { return m.incarnation }

// Service returns the number of the target's service.
func (m Mark) Service() uint16 { return m.service }

// Nonce returns the value that distinguishes the marks of one agent.
func (m Mark) Nonce() uint32 { return m.nonce }

// IsIssuedBy reports whether an incarnation of a target issued the mark. It
// compares the low 24 bits of the incarnation.
func (m Mark) IsIssuedBy(target uint32, incarnation uint64) bool {
	return m.target == target && m.incarnation == uint32(incarnation&IncarnationMask)
}

// keySet holds the keys that are derived from one secret of the key ring: an
// AES-128 key and the two halves of a SipHash key.
type keySet struct {
	block   cipher.Block
	tagKey0 uint64
	tagKey1 uint64
}

// computeTag returns the 24-bit tag of the leading bytes of a mark.
func (s *keySet) computeTag(data []byte) uint32 {
	return uint32(siphash.Hash(s.tagKey0, s.tagKey1, data) & (1<<24 - 1))
}

// Marker encodes marks with the current secret of a key ring and decodes marks
// of every secret of the ring. It is safe for concurrent use.
type Marker struct {
	currentKeyID uint8
	keySets      [keyIDCount]*keySet
	decoders     sync.Pool
}

// NewMarker returns a marker with keys that are derived from a key ring. It fails
// when a key cannot be derived.
func NewMarker(ring *deriver.KeyRing) (*Marker, error) {
	blockKeys, err := ring.Derive("connection id mark", keySize)
	if err != nil {
		return nil, merry.Prepend(err, "build marker")
	}
	tagKeys, err := ring.Derive("connection id check", keySize)
	if err != nil {
		return nil, merry.Prepend(err, "build marker")
	}
	m := &Marker{currentKeyID: blockKeys[0].ID()}
	for i, k := range blockKeys {
		block, err := aes.NewCipher(k.Bytes())
		if err != nil {
			return nil, merry.Prependf(err, "build cipher of key id %d", k.ID())
		}
		tagKey := tagKeys[i].Bytes()
		m.keySets[k.ID()] = &keySet{
			block:   block,
			tagKey0: binary.LittleEndian.Uint64(tagKey),
			tagKey1: binary.LittleEndian.Uint64(tagKey[8:]),
		}
	}
	m.decoders.New = func() any { return m.NewDecoder() }
	return m, nil
}

// Encode appends the 20 bytes of an encrypted mark to dst. It does not allocate
// when dst has the capacity for them.
func (m *Marker) Encode(dst []byte, mark Mark) []byte {
	s := m.keySets[m.currentKeyID]
	start := len(dst)
	dst = append(dst, m.currentKeyID<<4|formatVersion)
	dst = binary.BigEndian.AppendUint32(dst, mark.target)
	dst = appendUint24(dst, mark.incarnation)
	dst = binary.BigEndian.AppendUint16(dst, mark.service)
	dst = binary.BigEndian.AppendUint32(dst, mark.nonce)
	tag := s.computeTag(dst[start : start+taggedSize])
	dst = appendUint24(dst, tag)
	block := dst[start+1 : start+1+aes.BlockSize]
	s.block.Encrypt(block, block)
	return appendUint24(dst, tag)
}

// Decode returns the mark in a connection ID. It reports false for an ID with
// another length, an unknown key id or format version, or a tag that does not
// match.
func (m *Marker) Decode(id []byte) (Mark, bool) {
	d := m.decoders.Get().(*Decoder)
	mark, ok := d.Decode(id)
	m.decoders.Put(d)
	return mark, ok
}

// Decoder decodes marks with a scratch block of its own. It is not safe for
// concurrent use.
type Decoder struct {
	marker  *Marker
	scratch [1 + aes.BlockSize]byte
}

// NewDecoder returns a decoder with the keys of the marker.
func (m *Marker) NewDecoder() *Decoder { return &Decoder{marker: m} }

// Decode is like Marker.Decode, for a single goroutine. It never allocates.
func (d *Decoder) Decode(id []byte) (Mark, bool) {
	if len(id) != Size || id[0]&0x0f != formatVersion {
		return Mark{}, false
	}
	s := d.marker.keySets[id[0]>>4]
	if s == nil {
		return Mark{}, false
	}
	b := d.scratch[:]
	b[0] = id[0]
	s.block.Decrypt(b[1:], id[1:1+aes.BlockSize])
	tag := uint24(b[taggedSize:])
	if tag != uint24(id[1+aes.BlockSize:]) || tag != s.computeTag(b[:taggedSize]) {
		return Mark{}, false
	}
	return Mark{
		target:      binary.BigEndian.Uint32(b[1:]),
		incarnation: uint24(b[5:]),
		service:     binary.BigEndian.Uint16(b[8:]),
		nonce:       binary.BigEndian.Uint32(b[10:]),
	}, true
}

func appendUint24(dst []byte, value uint32) []byte {
	return append(dst, byte(value>>16), byte(value>>8), byte(value))
}

func uint24(b []byte) uint32 {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
}
