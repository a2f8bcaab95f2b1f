package batcher

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T, address string) *Conn {
	t.Helper()
	c, err := Listen(context.Background(), netip.MustParseAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func assertFlush(is *is.I, w *Writer, c *Conn, want int) {
	is.Helper()
	failed, excess := w.Flush(c)
	is.Equal(failed, want)
	is.Equal(excess, 0)
}

// TestBatches guards against datagrams that are mixed up, cut off unnoticed or lost
// because another one of their batch could not be sent, and against allocations.
func TestBatches(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		t.Run("datagrams keep content, order and source over "+address, func(t *testing.T) {
			is := is.New(t)
			from, to := listen(t, address), listen(t, address)
			w, destination := NewWriter(8), NewSockaddr(to.LocalAddrPort())
			for i := range 8 {
				w.Add(bytes.Repeat([]byte{byte(i)}, i*100), &destination)
			}
			is.True(w.IsFull())
			assertFlush(is, w, from, 0)
			r, n := to.NewReader(NewPool(4, 1000, 16)), 0
			for n < 8 {
				b, err := r.Read()
				is.NoErr(err)
				for i := range b.Len() {
					is.Equal(b.Source(i), from.LocalAddrPort())
					is.True(bytes.Equal(b.Payload(i), bytes.Repeat([]byte{byte(n)}, n*100)))
					is.Equal(len(b.WithHeadroom(i, 16)), n*100+16)
					n++
				}
			}
		})
	}
	t.Run("a datagram that cannot be sent does not stop the others", func(t *testing.T) {
		is := is.New(t)
		from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
		good, bad := NewSockaddr(to.LocalAddrPort()), NewSockaddr(netip.MustParseAddrPort("127.0.0.1:0"))
		w := NewWriter(3)
		for _, a := range []*Sockaddr{&good, &bad, &good} {
			w.Add([]byte("x"), a)
		}
		assertFlush(is, w, from, 1)
		r, n := to.NewReader(NewPool(4, 100, 0)), 0
		for n < 2 {
			b, err := r.Read()
			is.NoErr(err)
			n += b.Len()
		}
	})
	t.Run("a datagram larger than its buffer is marked as truncated", func(t *testing.T) {
		is := is.New(t)
		from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
		w, destination := NewWriter(2), NewSockaddr(to.LocalAddrPort())
		w.Add(make([]byte, 100), &destination)
		w.Add(make([]byte, 101), &destination)
		assertFlush(is, w, from, 0)
		r := to.NewReader(NewPool(1, 100, 0))
		for _, want := range []bool{false, true} {
			b, err := r.Read()
			is.NoErr(err)
			is.Equal(b.IsTruncated(0), want)
		}
	})
	t.Run("reading and writing do not allocate", func(t *testing.T) {
		is := is.New(t)
		from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
		w, destination, payload := NewWriter(1), NewSockaddr(to.LocalAddrPort()), make([]byte, 1200)
		pool := NewPool(4, 1500, 128)
		r := to.NewReader(pool)
		is.Equal(testing.AllocsPerRun(1000, func() {
			w.Add(payload, &destination)
			w.Flush(from)
			b, err := r.Read()
			if err != nil {
				panic(err)
			}
			b.Source(0)
			pool.Put(b)
		}), 0.0)
	})
	t.Run("Read fails with net.ErrClosed after the socket is closed", func(t *testing.T) {
		is := is.New(t)
		c := listen(t, "127.0.0.1:0")
		done := make(chan error, 1)
		go func() {
			_, err := c.NewReader(NewPool(1, 100, 0)).Read()
			done <- err
		}()
		is.NoErr(c.Close())
		is.True(errors.Is(<-done, net.ErrClosed))
	})
}

// TestReceiveErrors guards against a process that ends, or stops serving an
// address, because a receive failed once.
func TestReceiveErrors(t *testing.T) {
	t.Run("a receive without kernel memory is repeated", func(t *testing.T) {
		is := is.New(t)
		from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
		r := to.NewReader(NewPool(4, 100, 0))
		failures := []syscall.Errno{unix.ENOBUFS, unix.ENOMEM, unix.EIO}
		r.receive = func(fd uintptr, messages []mmsghdr) (int, syscall.Errno) {
			if len(failures) == 0 {
				return receiveMessages(fd, messages)
			}
			errno := failures[0]
			failures = failures[1:]
			return 0, errno
		}
		w, destination := NewWriter(1), NewSockaddr(to.LocalAddrPort())
		w.Add([]byte("x"), &destination)
		assertFlush(is, w, from, 0)
		b, err := r.Read()
		is.NoErr(err)
		is.Equal(b.Len(), 1)
		is.Equal(len(failures), 0)
	})
	t.Run("an unusable socket is an error", func(t *testing.T) {
		is := is.New(t)
		r := listen(t, "127.0.0.1:0").NewReader(NewPool(4, 100, 0))
		r.receive = func(uintptr, []mmsghdr) (int, syscall.Errno) { return 0, unix.ENOTSOCK }
		_, err := r.Read()
		is.True(errors.Is(err, unix.ENOTSOCK))
	})
}

// TestServe guards against a process that one datagram ends.
func TestServe(t *testing.T) {
	is := is.New(t)
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	handled := make(chan string, 3)
	done := make(chan error, 1)
	go func() {
		done <- to.Serve(to, zerolog.Nop(), func() {}, func(b []byte, _ *Writer, _ time.Time) {
			if string(b) == "faulty" {
				panic("index out of range")
			}
			handled <- string(b)
		})
	}()
	w, destination := NewWriter(3), NewSockaddr(to.LocalAddrPort())
	for _, content := range []string{"first", "faulty", "last"} {
		w.Add([]byte(content), &destination)
	}
	assertFlush(is, w, from, 0)
	is.Equal(<-handled, "first")
	is.Equal(<-handled, "last")
	is.NoErr(to.Close())
	is.NoErr(<-done)
}

// TestStopReading guards against datagrams that have arrived before a planned stop
// and are lost with the socket.
func TestStopReading(t *testing.T) {
	is := is.New(t)
	const count = 500
	from, to := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
	w, destination := NewWriter(count), NewSockaddr(to.LocalAddrPort())
	for range count {
		w.Add([]byte("x"), &destination)
	}
	assertFlush(is, w, from, 0)
	is.NoErr(to.StopReading())
	handled := 0
	is.NoErr(to.Serve(to, zerolog.Nop(), func() {}, func([]byte, *Writer, time.Time) { handled++ }))
	is.Equal(handled, count)
}
