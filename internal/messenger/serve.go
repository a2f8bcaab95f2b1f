package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
)

// incomingSession holds the lane of an accepted session, which its first stream
// sets.
type incomingSession struct {
	lock sync.Mutex
	lane string
}

func (s *incomingSession) bindLane(lane string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.lane == "" {
		s.lane = lane
	}
	return s.lane == lane
}

func (m *Messenger) serveSession(ctx context.Context, session *yamux.Session, logger zerolog.Logger) {
	state := &incomingSession{}
	slots := make(chan struct{}, m.options.MaxStreams)
	var streams sync.WaitGroup
	defer streams.Wait()
	defer session.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		y, err := session.AcceptStream()
		if err != nil {
			logger.Debug().Err(err).Msg("peer session ended")
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			streamsRefused.Inc()
			y.Close()
			continue
		}
		streams.Go(func() {
			defer func() { <-slots }()
			defer y.Close()
			if err := m.serveStream(ctx, y, state); err != nil {
				streamsRefused.Inc()
				logger.Warn().Err(err).Msg("peer stream refused")
			}
		})
	}
}

func (m *Messenger) serveStream(ctx context.Context, y *yamux.Stream, state *incomingSession) error {
	s := newStream(y, "", m.options.MaxMessageBytes)
	if err := s.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return merry.Prepend(err, "set hello deadline")
	}
	receiveErr := s.receiveHello()
	if hello := s.Peer(); hello != nil {
		s.lane = hello.GetLane()
	}
	// The answer is sent in any case, so that a peer of another version learns
	// the reason.
	if err := s.sendHello(m.hello(s.lane)); err != nil {
		return merry.Prepend(err, "answer hello")
	}
	if receiveErr != nil {
		return receiveErr
	}
	if !state.bindLane(s.lane) {
		return merry.Prependf(ErrProtocol, "lane %q on a session of another lane", s.lane)
	}
	if err := s.SetDeadline(time.Time{}); err != nil {
		return merry.Prepend(err, "clear hello deadline")
	}
	m.lock.Lock()
	handler := m.handlers[s.lane]
	m.lock.Unlock()
	if handler == nil {
		return merry.Prependf(ErrProtocol, "no handler of lane %q", s.lane)
	}
	if !m.streams.Handle(func() { handler(ctx, s) }) {
		return merry.Prependf(ErrProtocol, "handler of lane %q panicked", s.lane)
	}
	return nil
}
