package soaker

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/platform/standin"
)

const (
	// malformedInterval is the time between two malformed messages to a process.
	malformedInterval = time.Millisecond
	maxMalformedBytes = 1500
	// malformedHost is the index of the address that malformed messages come from.
	malformedHost = 250
)

// sendMalformed sends datagrams and stream connections with random, truncated and
// empty content to the ports of a process.
func (s *Soak) sendMalformed(p *process, length time.Duration) {
	e := s.environment
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(e.hostAddress(malformedHost), 0)))
	if err != nil {
		e.report.recordViolation("failed to bind the sender of malformed messages: %v", err)
		return
	}
	defer conn.Close()
	sender := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	random := rand.New(rand.NewPCG(e.options.Seed, uint64(length)))
	ports := []uint16{e.packetPort, e.controlPort, e.outboundPort}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(malformedInterval) {
		to := netip.AddrPortFrom(p.address, ports[random.IntN(len(ports))])
		_, _ = conn.WriteToUDPAddrPort(randomMessage(random, sender), to)
		if random.IntN(50) == 0 {
			sendStream(netip.AddrPortFrom(p.address, e.controlPort), randomMessage(random, sender))
			sendStream(netip.AddrPortFrom(p.address, e.readyPort), randomMessage(random, sender))
		}
	}
}

// randomMessage returns random bytes, or a part of a packet for an address that no
// route has.
func randomMessage(random *rand.Rand, sender netip.AddrPort) []byte {
	b := make([]byte, random.IntN(maxMalformedBytes))
	if random.IntN(2) == 0 {
		b = standin.Encode(framer.Packet{Source: sender, Destination: sender, RST: true, SYN: random.IntN(2) == 0}, b)
		return b[:random.IntN(len(b)+1)]
	}
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

func sendStream(to netip.AddrPort, content []byte) {
	conn, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		return // the process may be stopped by another fault
	}
	_, _ = conn.Write(content)
	_ = conn.Close()
}
