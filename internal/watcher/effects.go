package watcher

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"kingcupvalve.example/kingcupvalve/internal/messenger"
	"kingcupvalve.example/kingcupvalve/internal/wirepb"
	"kingcupvalve.example/kingcupvalve/keeper"
)

const (
	// openTimeout limits an attempt to connect to a peer.
	openTimeout = time.Second
	// sendTimeout closes the link of a peer that does not read.
	sendTimeout = 2 * time.Second
	// linkQueueSize is the number of messages that may be queued for one peer. It
	// has room for a whole configuration and a host list.
	linkQueueSize = 2 * keeper.MaxSections
)

// linkStream is the send queue of one open link.
type linkStream struct {
	queue  chan *wirepb.Envelope
	cancel context.CancelFunc
}

func (w *Watcher) effects(ctx context.Context) effects {
	return effects{
		readHead: func(after int64, wait time.Duration) {
			w.call(ctx, func() (func(time.Time), error) {
				r := w.platform.readHead(ctx, after, wait)
				return func(now time.Time) {
					if r.malformed != nil {
						w.options.Logger.Warn().Err(r.malformed).Msg("platform head refused")
					}
					w.logic.headRead(now, r)
				}, r.err
			})
		},
		readHosts: func(after hostPosition, wait time.Duration) {
			w.call(ctx, func() (func(time.Time), error) {
				r := w.platform.readHosts(ctx, after, wait)
				return func(now time.Time) { w.logic.hostsRead(now, r) }, r.err
			})
		},
		readSection: func(ref keeper.SectionRef) {
			w.call(ctx, func() (func(time.Time), error) {
				content, err := w.platform.readSection(ctx, ref)
				return func(now time.Time) { w.logic.sectionRead(now, ref, content, err) }, err
			})
		},
		connect:       func(id string, address netip.AddrPort) { w.connect(ctx, id, address) },
		disconnect:    w.disconnect,
		send:          w.send,
		reportVerdict: w.reportVerdict,
	}
}

// call runs do, which makes one platform call, in the background and posts the
// function that it returns, which handles the result, to the control goroutine.
func (w *Watcher) call(ctx context.Context, do func() (func(time.Time), error)) {
	platformCalls.Inc()
	w.tasks.Go(func() {
		handle, err := do()
		if err != nil && ctx.Err() == nil {
			platformFailures.Inc()
			w.options.Logger.Debug().Err(err).Msg("platform call failed")
		}
		w.post(ctx, handle)
	})
}

func (w *Watcher) connect(ctx context.Context, id string, address netip.AddrPort) {
	w.tasks.Go(func() {
		openCtx, cancel := context.WithTimeout(ctx, openTimeout)
		defer cancel()
		s, err := w.options.Messenger.Open(openCtx, address, messenger.LaneControl)
		if err != nil {
			w.post(ctx, func(now time.Time) { w.logic.linkDown(now, id) })
			return
		}
		w.runLink(ctx, id, id[len(outgoingPrefix):], s)
	})
}

// serveLink serves a stream that a peer opened. The opening side sends first, so
// the first message distinguishes digest streams from links.
func (w *Watcher) serveLink(ctx context.Context, s *messenger.Stream) {
	// Without a deadline, a peer that never sends would hold the stream for as
	// long as its session lasts.
	if s.SetReadDeadline(time.Now().Add(sendTimeout)) != nil {
		return
	}
	first, err := s.Receive()
	if err != nil || s.SetReadDeadline(time.Time{}) != nil {
		s.Close()
		return
	}
	if first.GetDigest() != nil {
		defer s.Close()
		if w.options.ServeDigests != nil {
			w.options.ServeDigests(s, first)
		}
		return
	}
	name := s.Peer().GetProcess()
	id := "from/" + name + "/" + strconv.FormatUint(w.linkSerial.Add(1), 10)
	w.runLink(ctx, id, name, s, first)
}

// runLink passes messages between a stream and the control goroutine until one
// of them ends. The received messages were read from the stream before and are
// passed first.
func (w *Watcher) runLink(ctx context.Context, id, name string, s *messenger.Stream, received ...*wirepb.Envelope) {
	defer s.Close()
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	stream := &linkStream{queue: make(chan *wirepb.Envelope, linkQueueSize), cancel: cancel}
	posted := w.post(ctx, func(now time.Time) {
		if w.streams[id] != nil {
			cancel() // an earlier connection attempt succeeded
			return
		}
		w.streams[id] = stream
		if !w.logic.linkUp(now, id, name) {
			w.disconnect(id)
		}
	})
	if !posted {
		return
	}
	w.tasks.Go(func() {
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-stream.queue:
				if s.SetWriteDeadline(time.Now().Add(sendTimeout)) != nil || s.Send(m) != nil {
					return
				}
			}
		}
	})
	for _, m := range received {
		w.post(ctx, func(now time.Time) { w.receive(now, id, name, m) })
	}
	for {
		m, err := s.Receive()
		if err != nil {
			w.options.Logger.Debug().Err(err).Str("peer", name).Msg("control link ended")
			break
		}
		if !w.post(ctx, func(now time.Time) { w.receive(now, id, name, m) }) {
			break
		}
	}
	w.post(parent, func(now time.Time) {
		if w.streams[id] == stream {
			delete(w.streams, id)
			w.logic.linkDown(now, id)
		}
	})
}

func (w *Watcher) receive(now time.Time, id, name string, m *wirepb.Envelope) {
	if err := w.logic.receive(now, id, m); err != nil {
		w.options.Logger.Warn().Err(err).Str("peer", name).Msg("peer message refused")
		w.disconnect(id)
		w.logic.linkDown(now, id)
	}
}

func (w *Watcher) disconnect(id string) {
	if s := w.streams[id]; s != nil {
		delete(w.streams, id)
		s.cancel()
	}
}

// send queues a message. If the queue is full, the peer is not reading and the
// link is closed; the peer can open a new stream later.
func (w *Watcher) send(id string, m *wirepb.Envelope) {
	s := w.streams[id]
	if s == nil {
		return
	}
	select {
	case s.queue <- m:
	default:
		slowPeers.Inc()
		s.cancel()
	}
}

func (w *Watcher) close() {
	if t, ok := w.options.Transport.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
	for _, s := range w.streams {
		s.cancel()
	}
}
