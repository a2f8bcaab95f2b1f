package batcher

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"kingcupvalve.example/kingcupvalve/internal/recoverer"
)

const (
	// serveBatchSize is the number of datagrams that Serve reads at a time.
	serveBatchSize = 32
	// serveDatagramSize is the largest datagram that Serve reads, in bytes.
	serveDatagramSize = 2048
	// maxFinalBatches bounds the batches that Serve handles after StopReading. They
	// hold more datagrams than a receive buffer.
	maxFinalBatches = 4096
)

// Serve reads datagrams until the socket is closed and calls handle for each of
// them. After StopReading it handles the datagrams that have arrived and returns.
// Datagrams that handle adds to the writer, at most one per call, are sent
// through the socket out; their bytes must stay unchanged until the next call of
// begin, which is called before each batch. A datagram whose handling panics is
// dropped.
func (c *Conn) Serve(out *Conn, log zerolog.Logger, begin func(), handle func(datagram []byte, writer *Writer, now time.Time)) error {
	pool := NewPool(serveBatchSize, serveDatagramSize, 0)
	reader := c.NewReader(pool)
	messages := recoverer.NewRecoverer(log, "packet")
	handleBatch := func(batch *Batch) {
		begin()
		now, writer := time.Now(), batch.Writer()
		for i := range batch.Len() {
			messages.Handle(func() { handle(batch.Payload(i), writer, now) })
		}
		if failed, excess := writer.Flush(out); failed+excess > 0 {
			log.Warn().Int("failed", failed).Int("excess", excess).Msg("failed to send datagrams")
		}
		pool.Put(batch)
	}
	for {
		batch, err := reader.Read()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			for range maxFinalBatches {
				batch, ok := reader.ReadAvailable()
				if !ok {
					break
				}
				handleBatch(batch)
			}
			return nil
		case err != nil:
			return merry.Prepend(err, "read datagrams")
		}
		handleBatch(batch)
	}
}
