package dispatcher

import (
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"
)

// body is a request body whose first part is buffered: the whole body if it has
// at most MaxReplayableBodyBytes, otherwise the first MaxReplayableBodyBytes+1
// bytes.
type body struct {
	prefix []byte
	// remainder reads what follows the prefix; nil if the prefix is complete.
	remainder io.Reader
	// length is the length in bytes, or -1 if it is not known.
	length int64
	// remainderUsed is set once reader has returned remainder, which cannot be read again.
	remainderUsed bool
}

// readBody buffers the first part of a body. The length is the declared one in
// bytes, or -1. It returns an error if a body that ends within that part differs
// from the declared length.
func readBody(r io.Reader, length int64) (*body, error) {
	if r == nil || length == 0 {
		return &body{}, nil
	}
	prefix, err := io.ReadAll(io.LimitReader(r, MaxReplayableBodyBytes+1))
	if err != nil {
		return nil, merry.Prepend(err, "read request body")
	}
	if len(prefix) <= MaxReplayableBodyBytes {
		if length >= 0 && int64(len(prefix)) != length {
			return nil, merry.Errorf("read request body: got %d bytes, Content-Length is %d", len(prefix), length)
		}
		return &body{prefix: prefix, length: int64(len(prefix))}, nil
	}
	return &body{prefix: prefix, remainder: r, length: length}, nil
}

// isReplayable reports whether the body can still be read from the start.
func (b *body) isReplayable() bool { return b.remainder == nil || !b.remainderUsed }

// reader returns a reader of the whole body. It may be called again only while
// isReplayable returns true.
func (b *body) reader() io.Reader {
	if b.remainder == nil {
		return bytes.NewReader(b.prefix)
	}
	b.remainderUsed = true
	return io.MultiReader(bytes.NewReader(b.prefix), b.remainder)
}
