package batcher

import (
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
)

const (
	// serveBatch is the number of datagrams that Serve reads at a time.
	serveBatch = 32
	// serveSize is the largest datagram that Serve reads, in bytes.
	serveSize = 2048
)

// Serve reads datagrams until the socket is closed and has each of them
// handled. What handle adds to the writer, at most one datagram for each that
// was read, is sent from another socket; the bytes must stay unchanged until
// the next call of begin, which comes before each batch.
func (c *Conn) Serve(out *Conn, log zerolog.Logger, begin func(), handle func(datagram []byte, writer *Writer, now time.Time)) error {
	pool := NewPool(serveBatch, serveSize, 0)
	reader := c.NewReader(pool)
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
			handle(batch.Payload(i), writer, now)
		}
		if failed, excess := writer.Flush(out); failed+excess > 0 {
			log.Warn().Int("failed", failed).Int("excess", excess).Msg("datagrams not sent")
		}
		pool.Put(batch)
	}
}
