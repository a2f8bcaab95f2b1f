// Package batcher reads and writes UDP datagrams in batches, with recvmmsg and
// sendmmsg, without allocating.
//
// golang.org/x/net/ipv4 offers the same system calls, but its ReadBatch
// allocates an address for every datagram. A reader takes a batch from a shared
// pool only when its socket is readable, so that thousands of idle sockets hold no
// buffers.
//
// # Usage
//
//	pool := batcher.NewPool(64, 2048, 128)
//	conn, err := batcher.Listen(ctx, address)
//	reader := conn.NewReader(pool)
//	batch, err := reader.Read()
//	for i := range batch.Len() {
//		handle(batch.Source(i), batch.Payload(i))
//	}
//	pool.Put(batch)
package batcher

import (
	"encoding/binary"
	"net/netip"
	"unsafe"

	"golang.org/x/sys/unix"
)

// mmsghdr is struct mmsghdr of recvmmsg(2) and sendmmsg(2).
type mmsghdr struct {
	header unix.Msghdr
	size   uint32
}

// Batch is a set of received datagrams with headroom before each of them.
type Batch struct {
	headroom  int
	stride    int
	buffer    []byte
	messages  []mmsghdr
	iovecs    []unix.Iovec
	sockaddrs []unix.RawSockaddrInet6
	count     int
	writer    *Writer
}

func newBatch(size, datagramSize, headroom int) *Batch {
	b := &Batch{
		headroom:  headroom,
		stride:    headroom + datagramSize,
		buffer:    make([]byte, size*(headroom+datagramSize)),
		messages:  make([]mmsghdr, size),
		iovecs:    make([]unix.Iovec, size),
		sockaddrs: make([]unix.RawSockaddrInet6, size),
		writer:    NewWriter(size),
	}
	for i := range b.messages {
		b.iovecs[i].Base = &b.buffer[i*b.stride+headroom]
		b.iovecs[i].SetLen(datagramSize)
		b.messages[i].header.Iov = &b.iovecs[i]
		b.messages[i].header.SetIovlen(1)
		b.messages[i].header.Name = (*byte)(unsafe.Pointer(&b.sockaddrs[i]))
	}
	return b
}

// reset prepares the message headers for the next read, since the kernel
// overwrites the length of each source address and the flags.
func (b *Batch) reset() {
	for i := range b.messages {
		b.messages[i].header.Namelen = unix.SizeofSockaddrInet6
		b.messages[i].header.Flags = 0
	}
}

// Writer returns an empty writer with room for as many datagrams as the batch. It
// is part of the batch so that idle sockets hold no writer.
func (b *Batch) Writer() *Writer { return b.writer }

// Len returns the number of datagrams in the batch.
func (b *Batch) Len() int { return b.count }

// Source returns the source address of a datagram.
func (b *Batch) Source(i int) netip.AddrPort { return addrPortFromRaw(&b.sockaddrs[i]) }

// Payload returns the bytes of a datagram.
func (b *Batch) Payload(i int) []byte {
	start := i*b.stride + b.headroom
	return b.buffer[start : start+int(b.messages[i].size)]
}

// IsTruncated reports whether a datagram was larger than its buffer.
func (b *Batch) IsTruncated(i int) bool { return b.messages[i].header.Flags&unix.MSG_TRUNC != 0 }

// WithHeadroom returns a datagram preceded by size bytes of headroom, in which a
// header can be written. Size must not exceed the headroom of the pool.
func (b *Batch) WithHeadroom(i, size int) []byte {
	start := i*b.stride + b.headroom
	return b.buffer[start-size : start+int(b.messages[i].size)]
}

// Pool is a bounded free list of batches. It is safe for concurrent use.
type Pool struct {
	free         chan *Batch
	batchSize    int
	datagramSize int
	headroom     int
}

// maxFreeBatches is the largest number of free batches that a pool keeps.
const maxFreeBatches = 16

// NewPool returns a pool of batches of batchSize datagrams of up to
// datagramSize bytes, with headroom bytes before each datagram.
func NewPool(batchSize, datagramSize, headroom int) *Pool {
	return &Pool{free: make(chan *Batch, maxFreeBatches), batchSize: batchSize, datagramSize: datagramSize, headroom: headroom}
}

// BatchSize returns the number of datagrams that a batch holds.
func (p *Pool) BatchSize() int { return p.batchSize }

// Get returns an empty batch.
func (p *Pool) Get() *Batch {
	select {
	case b := <-p.free:
		return b
	default:
		return newBatch(p.batchSize, p.datagramSize, p.headroom)
	}
}

// Put returns a batch to the pool. The batch must not be used afterwards.
func (p *Pool) Put(b *Batch) {
	b.count = 0
	select {
	case p.free <- b:
	default:
	}
}

// Sockaddr is the destination of a datagram as a socket address for system calls.
type Sockaddr struct {
	raw  unix.RawSockaddrInet6
	size uint32
}

// NewSockaddr returns the socket address of an address and port. IPv4-mapped IPv6
// addresses are converted to IPv4.
func NewSockaddr(address netip.AddrPort) Sockaddr {
	ip := address.Addr().Unmap()
	var a Sockaddr
	if ip.Is4() {
		raw := (*unix.RawSockaddrInet4)(unsafe.Pointer(&a.raw))
		raw.Family = unix.AF_INET
		raw.Addr = ip.As4()
		a.size = unix.SizeofSockaddrInet4
	} else {
		a.raw.Family = unix.AF_INET6
		a.raw.Addr = ip.As16()
		a.size = unix.SizeofSockaddrInet6
	}
	// The port has the same offset in both structures, in network byte order.
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&a.raw.Port))[:], address.Port())
	return a
}

func addrPortFromRaw(raw *unix.RawSockaddrInet6) netip.AddrPort {
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&raw.Port))[:])
	if raw.Family == unix.AF_INET {
		return netip.AddrPortFrom(netip.AddrFrom4((*unix.RawSockaddrInet4)(unsafe.Pointer(raw)).Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(raw.Addr).Unmap(), port)
}
