// Package batcher reads and writes UDP datagrams in batches, with recvmmsg and
// sendmmsg, without allocating.
//
// golang.org/x/net/ipv4 offers the same system calls, but its ReadBatch
// allocates an address for every datagram. Batches come from a shared pool and
// are taken only when a socket is readable, so that thousands of idle sockets
// hold no buffers.
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

// header is struct mmsghdr of recvmmsg(2).
type header struct {
	message unix.Msghdr
	size    uint32
}

// Batch is a set of received datagrams with room before each of them.
type Batch struct {
	headroom int
	stride   int
	buffer   []byte
	headers  []header
	vectors  []unix.Iovec
	names    []unix.RawSockaddrInet6
	count    int
	writer   *Writer
}

func newBatch(size, datagramSize, headroom int) *Batch {
	b := &Batch{
		headroom: headroom,
		stride:   headroom + datagramSize,
		buffer:   make([]byte, size*(headroom+datagramSize)),
		headers:  make([]header, size),
		vectors:  make([]unix.Iovec, size),
		names:    make([]unix.RawSockaddrInet6, size),
		writer:   NewWriter(size),
	}
	for i := range b.headers {
		b.vectors[i].Base = &b.buffer[i*b.stride+headroom]
		b.vectors[i].SetLen(datagramSize)
		b.headers[i].message.Iov = &b.vectors[i]
		b.headers[i].message.SetIovlen(1)
		b.headers[i].message.Name = (*byte)(unsafe.Pointer(&b.names[i]))
	}
	return b
}

// reset prepares the headers for the next read, since the kernel overwrites
// the length of each name.
func (b *Batch) reset() {
	for i := range b.headers {
		b.headers[i].message.Namelen = unix.SizeofSockaddrInet6
		b.headers[i].message.Flags = 0
	}
}

// Writer returns an empty writer that has room for the whole batch. It comes
// with the batch so that idle sockets hold none of their own.
func (b *Batch) Writer() *Writer { return b.writer }

// Len returns the number of datagrams in the batch.
func (b *Batch) Len() int { return b.count }

// Source returns the address that a datagram came from.
func (b *Batch) Source(i int) netip.AddrPort { return decodeAddress(&b.names[i]) }

// Payload returns the bytes of a datagram.
func (b *Batch) Payload(i int) []byte {
	start := i*b.stride + b.headroom
	return b.buffer[start : start+int(b.headers[i].size)]
}

// IsTruncated reports whether a datagram did not fit its buffer.
func (b *Batch) IsTruncated(i int) bool { return b.headers[i].message.Flags&unix.MSG_TRUNC != 0 }

// Extend returns a datagram with size bytes before it, which must not exceed
// the headroom of the pool.
func (b *Batch) Extend(i, size int) []byte {
	start := i*b.stride + b.headroom
	return b.buffer[start-size : start+int(b.headers[i].size)]
}

// Pool is a bounded free list of batches. It is safe for concurrent use.
type Pool struct {
	free         chan *Batch
	batchSize    int
	datagramSize int
	headroom     int
}

// freeBatches bounds the idle batches that a pool keeps.
const freeBatches = 16

// NewPool returns a pool of batches of batchSize datagrams of up to
// datagramSize bytes, with headroom bytes before each.
func NewPool(batchSize, datagramSize, headroom int) *Pool {
	return &Pool{free: make(chan *Batch, freeBatches), batchSize: batchSize, datagramSize: datagramSize, headroom: headroom}
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

// Put returns a batch to the pool. Its contents must not be used any more.
func (p *Pool) Put(b *Batch) {
	b.count = 0
	select {
	case p.free <- b:
	default:
	}
}

// Address is the destination of a datagram in the form of the kernel.
type Address struct {
	raw  unix.RawSockaddrInet6
	size uint32
}

// NewAddress converts an address. IPv4-mapped IPv6 addresses become IPv4.
func NewAddress(address netip.AddrPort) Address {
	ip := address.Addr().Unmap()
	var a Address
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
	// The port stands in network byte order at the same place in both forms.
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&a.raw.Port))[:], address.Port())
	return a
}

func decodeAddress(raw *unix.RawSockaddrInet6) netip.AddrPort {
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&raw.Port))[:])
	if raw.Family == unix.AF_INET {
		return netip.AddrPortFrom(netip.AddrFrom4((*unix.RawSockaddrInet4)(unsafe.Pointer(raw)).Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(raw.Addr).Unmap(), port)
}
