// Package meter serves the metrics of the process in the Prometheus text format
// and registers the metrics about the process itself.
//
// Packages register their own counters with metrics.GetOrCreateCounter. The
// names begin with kingcupvalve_, end with the unit (_total, _seconds, _bytes)
// and are listed in docs/OPERATIONS.md; a test of this package compares the
// list with the source.
//
// # Usage
//
//	meter.Register(meter.Process{Role: "agent", Version: version, StartedAt: time.Now()})
//	http.Handle("/metrics", meter.Handler())
package meter

import (
	"net/http"
	"runtime"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// contentType is the media type of the Prometheus text exposition format.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// Process describes the process whose metrics Register adds.
type Process struct {
	Role      string
	Version   string
	StartedAt time.Time
	// Revision returns the revision in force. If nil, the metric is not registered.
	Revision func() uint64
}

// Register registers the metrics about the process. A second call has no effect
// on metrics that are already registered.
func Register(p Process) {
	metrics.GetOrCreateGauge("kingcupvalve_build_info{role="+strconv.Quote(p.Role)+",version="+strconv.Quote(p.Version)+"}",
		func() float64 { return 1 })
	metrics.GetOrCreateGauge("kingcupvalve_start_time_seconds",
		func() float64 { return float64(p.StartedAt.UnixMilli()) / 1000 })
	metrics.GetOrCreateGauge("kingcupvalve_goroutines",
		func() float64 { return float64(runtime.NumGoroutine()) })
	if p.Revision != nil {
		metrics.GetOrCreateGauge("kingcupvalve_revision", func() float64 { return float64(p.Revision()) })
	}
}

// Handler returns a handler that writes all registered metrics and those of the
// Go runtime and the operating system process.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		metrics.WritePrometheus(w, true)
	})
}
