package backend

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// serveFeed streams server-sent events. Event n is sent at FeedEpoch plus n times
// FeedInterval. With a Last-Event-ID header the stream starts after that event,
// otherwise with the next one that is due.
func (s *Server) serveFeed(w http.ResponseWriter, r *http.Request) {
	if s.currentControls().Draining {
		refuse(w, "draining")
		return
	}
	next := s.findNewestEvent(time.Now()) + 1
	if last, err := strconv.ParseInt(r.Header.Get("Last-Event-ID"), 10, 64); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil {
		return
	}
	for {
		due := s.options.FeedEpoch.Add(time.Duration(next) * s.options.FeedInterval)
		timer := time.NewTimer(time.Until(due))
		select {
		case <-r.Context().Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", next, s.options.Service, next); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		next++
	}
}

func (s *Server) findNewestEvent(now time.Time) int64 {
	return int64(now.Sub(s.options.FeedEpoch) / s.options.FeedInterval)
}
