package forwarder

import (
	"bytes"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/batcher"
	"kingcupvalve.example/kingcupvalve/internal/deferrer"
	"kingcupvalve.example/kingcupvalve/internal/framer"
)

// deferUnrouted keeps a packet to an address that the table does not list.
func (f *Forwarder) deferUnrouted(p framer.Packet, datagram []byte, now time.Time) {
	if !f.deferrer.Keep(p, func() []byte { return bytes.Clone(datagram) }, now) {
		return
	}
	select {
	case f.packetDeferred <- struct{}{}:
	default:
	}
}

// releaseDeferred forwards or refuses the packets to unlisted addresses, once the table
// is conclusive about them, until done is closed. It sleeps while there are none.
func (f *Forwarder) releaseDeferred(done <-chan struct{}) {
	out := output{writer: batcher.NewWriter(branchBatchSize)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-f.packetDeferred:
		case <-timer.C:
		}
		// A table that is read before its time may lack what was published in between.
		now, confirmedAt := time.Now(), f.options.ConfirmedAt()
		released, isPending := f.deferrer.Tick(f.options.Table(), confirmedAt, now)
		for _, r := range released {
			if out.writer.IsFull() {
				f.flush(out.writer)
				out.resets = out.resets[:0]
			}
			f.release(r, &out, now)
		}
		f.flush(out.writer)
		out.resets = out.resets[:0]
		if isPending {
			timer.Reset(deferrer.TickInterval)
		}
	}
}

func (f *Forwarder) release(r deferrer.Release[[]byte], out *output, now time.Time) {
	table := f.options.Table()
	if !r.IsRefused {
		f.options.Logger.Info().Stringer("caller", r.Packet.Source).Stringer("published_address", r.Packet.Destination).Bool("opens", r.Packet.SYN).
			Uint64("version", table.Version()).Dur("duration_ms", r.Waited).Msg("packet waited for its route")
		f.forward(r.Payload, out, now)
		return
	}
	if !r.Packet.RST {
		f.sendReset(r.Packet, "no route", table, f.options.TableAge(now), out)
	}
}
