// Package relayer is a minimal balancer for tests of agents. It forwards each
// packet of a caller to the agent that the test chooses, and forwards the
// packets of agents to the caller. It does not track which agents are alive
// and drops no packet on its own.
//
// # Usage
//
//	r, err := relayer.NewRelayer(relayer.Options{Ring: ring, Service: 3, Route: route, Revision: revision})
//	r.Run()
//	defer r.Close()
package relayer

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/internal/tunneler"
	"kingcupvalve.example/kingcupvalve/marker"
)

// Options are the parameters of a Relayer.
type Options struct {
	Ring    *deriver.KeyRing
	Service uint16
	// Route returns the tunnel address and the flags for a packet. The mark is
	// valid only if the packet has one.
	Route func(mark marker.Mark, isMarked bool) (netip.AddrPort, tunneler.Flags)
	// Revision returns the revision of the relayer's table. With a lower one
	// than its own, an agent may choose another target for a new flow.
	Revision func() uint64
}

// Relayer is a minimal balancer with a published and a tunnel address.
type Relayer struct {
	options   Options
	codec     *tunneler.Codec
	marks     *marker.Marker
	published *net.UDPConn
	tunnel    atomic.Pointer[net.UDPConn]
	workers   sync.WaitGroup
}

// NewRelayer binds both addresses on loopback and starts to forward the packets
// of agents to callers. Run starts the other direction.
func NewRelayer(o Options) (*Relayer, error) {
	codec, err := tunneler.NewCodec(o.Ring)
	if err != nil {
		return nil, err
	}
	marks, err := marker.NewMarker(o.Ring)
	if err != nil {
		return nil, err
	}
	published, err := listen()
	if err != nil {
		return nil, err
	}
	r := &Relayer{options: o, codec: codec, marks: marks, published: published}
	if err := r.ReplaceTunnel(); err != nil {
		published.Close()
		return nil, err
	}
	return r, nil
}

func listen() (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, merry.Prepend(err, "listen on loopback")
	}
	return c, nil
}

// Address returns the published address, to which callers send.
func (r *Relayer) Address() netip.AddrPort { return r.published.LocalAddr().(*net.UDPAddr).AddrPort() }

// TunnelAddress returns the address to which agents send.
func (r *Relayer) TunnelAddress() netip.AddrPort {
	return r.tunnel.Load().LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run starts to forward the packets of callers to agents.
func (r *Relayer) Run() {
	r.workers.Go(func() {
		b := make([]byte, 1<<16)
		for {
			n, from, err := r.published.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			to, flags := r.options.Route(r.marks.Decode(destinationConnectionID(b[:n])))
			h := tunneler.Header{
				Source: from, Destination: r.Address(), Service: r.options.Service,
				Revision: r.options.Revision(), Flags: flags,
			}
			_, _ = r.tunnel.Load().WriteToUDPAddrPort(r.codec.Encode(nil, h, b[:n]), to)
		}
	})
}

// destinationConnectionID returns the destination connection ID of a QUIC packet
// (RFC 8999, 5.1 and 5.2), or nil if the packet is too short.
func destinationConnectionID(packet []byte) []byte {
	if len(packet) < 1+marker.Size {
		return nil
	}
	if packet[0]&0x80 == 0 {
		return packet[1 : 1+marker.Size]
	}
	return packet[6:min(len(packet), 6+int(packet[5]))]
}

// ReplaceTunnel simulates the replacement of the balancer: it binds a new tunnel
// address and closes the old one.
func (r *Relayer) ReplaceTunnel() error {
	tunnel, err := listen()
	if err != nil {
		return err
	}
	if old := r.tunnel.Swap(tunnel); old != nil {
		old.Close()
	}
	r.workers.Go(func() {
		b := make([]byte, 1<<16)
		for {
			n, from, err := tunnel.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			h, payload, err := r.codec.Decode(b[:n])
			switch {
			case err != nil:
			case h.Flags.Has(tunneler.FlagTowardCaller):
				_, _ = r.published.WriteToUDPAddrPort(payload, h.Source)
			case h.Flags.Has(tunneler.FlagProbe):
				answer := r.codec.Encode(nil, tunneler.Header{Flags: tunneler.FlagProbeAnswer}, nil)
				_, _ = tunnel.WriteToUDPAddrPort(answer, from)
			}
		}
	})
	return nil
}

// Close closes the sockets and waits until forwarding has stopped.
func (r *Relayer) Close() {
	r.published.Close()
	r.tunnel.Load().Close()
	r.workers.Wait()
}
