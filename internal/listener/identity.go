package listener

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"kingcupvalve.example/kingcupvalve/marker"
)

// connectionIDGenerator generates the connection IDs of one incarnation.
type connectionIDGenerator struct {
	marker      *marker.Marker
	target      uint32
	incarnation uint64
	service     uint16
	nonce       atomic.Uint32
}

func newConnectionIDGenerator(m *marker.Marker, o Options) *connectionIDGenerator {
	g := &connectionIDGenerator{marker: m, target: o.Target, incarnation: o.Incarnation, service: o.Service}
	g.nonce.Store(rand.Uint32())
	return g
}

// GenerateConnectionID returns a connection ID with the agent's mark. The nonce
// is a counter, so that 2^32 IDs are distinct; encryption hides their order.
func (g *connectionIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	m := marker.NewMark(g.target, g.incarnation, g.service, g.nonce.Add(1))
	return quic.ConnectionIDFromBytes(g.marker.Encode(make([]byte, 0, marker.Size), m)), nil
}

// ConnectionIDLen returns the length of all connection IDs.
func (g *connectionIDGenerator) ConnectionIDLen() int { return marker.Size }
