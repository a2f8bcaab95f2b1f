package logger

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog/diode"
)

// queueLines is the capacity of the queue in lines, about 1 MB.
const queueLines = 4096

var lostLines = metrics.GetOrCreateCounter("kingcupvalve_log_lines_lost_total")

// NewQueue returns a writer that never blocks. Lines are written to w from a
// bounded queue; when it is full, the oldest lines are dropped and counted. The
// returned function writes the queued lines and closes the queue.
func NewQueue(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, queueLines, 0, func(missed int) { lostLines.Add(missed) })
	return d, func() { _ = d.Close() }
}
