package forwarder

import (
	"bytes"
	"net/netip"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/framer"
	"kingcupvalve.example/kingcupvalve/internal/searcher"
)

// branchBatchSize is the number of packets on branches that are sent at a time.
const branchBatchSize = 32

// startSearch keeps a packet whose flow is searched for.
func (f *Forwarder) startSearch(p framer.Packet, datagram []byte, now time.Time) {
	p.Mark.Via = f.options.Address.Addr()
	if !f.searcher.Start(p, func() []byte { return bytes.Clone(datagram) }, now) {
		return
	}
	select {
	case f.searchStarted <- struct{}{}:
	default:
	}
}

// continueSearches sends the branches of searches until done is closed. It sleeps
// while there are none.
func (f *Forwarder) continueSearches(done <-chan struct{}) {
	writer, batch := batcher.NewWriter(branchBatchSize), make([][]byte, 0, branchBatchSize)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-f.searchStarted:
		case <-timer.C:
		}
		visits, isPending := f.searcher.Tick(f.options.Table(), time.Now())
		for _, v := range visits {
			batch = f.addBranch(v, writer, batch)
		}
		f.flush(writer)
		batch = batch[:0]
		if isPending {
			timer.Reset(searcher.TickInterval)
		}
	}
}

// addBranch adds a packet to the writer, and to the batch, which keeps its bytes.
func (f *Forwarder) addBranch(v searcher.Visit[[]byte], writer *batcher.Writer, batch [][]byte) [][]byte {
	if writer.IsFull() {
		f.flush(writer)
		batch = batch[:0]
	}
	datagram := bytes.Clone(v.Payload)
	f.options.Codec.Mark(datagram, v.Hop.Mark)
	to := batcher.NewSockaddr(netip.AddrPortFrom(v.Hop.Target.Address.Addr(), f.options.Address.Port()))
	writer.Add(datagram, &to)
	return append(batch, datagram)
}

// flush sends the datagrams of a writer.
func (f *Forwarder) flush(writer *batcher.Writer) {
	if failed, excess := writer.Flush(f.conn); failed+excess > 0 {
		f.options.Logger.Warn().Int("failed", failed).Int("excess", excess).Msg("failed to send datagrams")
	}
}

func (f *Forwarder) logUnanswered(p framer.Packet, branches int) {
	f.options.Logger.Info().Stringer("caller", p.Source).Stringer("published_address", p.Destination).
		Int("branches", branches).Uint64("version", f.options.Table().Version()).Msg("search for flow was not answered")
}
