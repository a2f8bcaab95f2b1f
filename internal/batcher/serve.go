package batcher

import (
	"errors"
	"net"
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
)

// Serve reads datagrams until the socket is closed and calls handle for each of
// them. Datagrams that handle adds to the writer, at most one per call, are sent
// through the socket out; their bytes must stay unchanged until the next call of
// begin, which is called before each batch. A datagram whose handling panics is
// dropped.
func (c *Conn) Serve(out *Conn, log zerolog.Logger, begin func(), handle func(datagram []byte, writer *Writer, now time.Time)) error {
	pool := NewPool(serveBatchSize, serveDatagramSize, 0)
	reader := c.NewReader(pool)
	messages := recoverer.NewRecoverer(log, "packet")
	for {
		batch, err := reader.Read()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return merry.Prepend(err, "read datagrams")
		}
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
}
