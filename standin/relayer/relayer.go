// Package relayer is a small balancer for the tests of agents: it forwards
// each packet of a caller to the agent that the test names and returns what
// agents send. It keeps no liveness and drops nothing by itself.
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

// Relayer is one running relayer with a published and a tunnel address.
type Relayer struct {
	options Options
	codec   *tunneler.Codec
	marks   *marker.Marker
	public  *net.UDPConn
	tunnel  atomic.Pointer[net.UDPConn]
	wait    sync.WaitGroup
}

// NewRelayer binds both addresses on loopback and returns what agents send.
func NewRelayer(o Options) (*Relayer, error) {
	codec, err := tunneler.NewCodec(o.Ring)
	if err != nil {
		return nil, err
	}
	marks, err := marker.NewMarker(o.Ring)
	if err != nil {
		return nil, err
	}
	public, err := listen()
	if err != nil {
		return nil, err
	}
	r := &Relayer{options: o, codec: codec, marks: marks, public: public}
	if err := r.ReplaceTunnel(); err != nil {
		public.Close()
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

// Address returns the published address.
func (r *Relayer) Address() netip.AddrPort { return r.public.LocalAddr().(*net.UDPAddr).AddrPort() }

// TunnelAddress returns the address that agents send to.
func (r *Relayer) TunnelAddress() netip.AddrPort {
	return r.tunnel.Load().LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run starts to forward what callers send.
func (r *Relayer) Run() {
	r.wait.Go(func() {
		b := make([]byte, 1<<16)
		for {
			n, from, err := r.public.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			to, flags := r.options.Route(r.marks.Decode(destinationID(b[:n])))
			h := tunneler.Header{
				Source: from, Destination: r.Address(), Service: r.options.Service,
				Revision: r.options.Revision(), Flags: flags,
			}
			_, _ = r.tunnel.Load().WriteToUDPAddrPort(r.codec.Encode(nil, h, b[:n]), to)
		}
	})
}

// destinationID returns the destination connection ID (RFC 8999, 5.1, 5.2).
func destinationID(packet []byte) []byte {
	if len(packet) < 1+marker.Size {
		return nil
	}
	if packet[0]&0x80 == 0 {
		return packet[1 : 1+marker.Size]
	}
	return packet[6:min(len(packet), 6+int(packet[5]))]
}

// ReplaceTunnel puts a new balancer in the place of the old one: agents hear
// from a new tunnel address, and the old one is gone.
func (r *Relayer) ReplaceTunnel() error {
	tunnel, err := listen()
	if err != nil {
		return err
	}
	if old := r.tunnel.Swap(tunnel); old != nil {
		old.Close()
	}
	r.wait.Go(func() {
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
				_, _ = r.public.WriteToUDPAddrPort(payload, h.Source)
			case h.Flags.Has(tunneler.FlagProbe):
				answer := r.codec.Encode(nil, tunneler.Header{Flags: tunneler.FlagProbeAnswer}, nil)
				_, _ = tunnel.WriteToUDPAddrPort(answer, from)
			}
		}
	})
	return nil
}

// Close stops the relayer.
func (r *Relayer) Close() {
	r.public.Close()
	r.tunnel.Load().Close()
	r.wait.Wait()
}
