package logger

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog/diode"
)

// queueLines is the number of lines that wait for the output, about 1 MB.
const queueLines = 4096

var queueLost = metrics.GetOrCreateCounter("kingcupvalve_log_lines_lost_total")

// NewQueue returns a writer that never blocks: lines wait in a bounded queue
// for w, and the oldest are dropped and counted when it is full. The second
// result writes what is left and ends the queue.
func NewQueue(w io.Writer) (io.Writer, func()) {
	d := diode.NewWriter(w, queueLines, 0, func(missed int) { queueLost.Add(missed) })
	return d, func() { _ = d.Close() }
}
