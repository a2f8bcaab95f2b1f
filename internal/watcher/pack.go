package watcher

import (
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"kingcupvalve.example/kingcupvalve/keeper"
)

// maxCompressed limits the cache of compressed sections. It has room for two
// whole configurations.
const maxCompressed = 2 * keeper.MaxSections

var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(keeper.MaxSectionBytes))
		if err != nil {
			panic(err) // only invalid options fail
		}
		return e
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecodeAllCapLimit(true), zstd.WithDecoderMaxMemory(keeper.MaxSectionBytes),
			zstd.WithDecoderMaxWindow(keeper.MaxSectionBytes))
		if err != nil {
			panic(err)
		}
		return d
	})
)

// compress compresses the content of a section with Zstandard (RFC 8878). It
// returns nil if the result would not be shorter.
func compress(content []byte) []byte {
	if b := encoder().EncodeAll(content, nil); len(b) < len(content) {
		return b
	}
	return nil
}

// decompress returns the content, which has at most size bytes. The size comes
// from the head, because the hash can be checked only after decompression and
// data from a peer could expand without limit.
func decompress(packed []byte, size uint64) ([]byte, error) {
	if size > keeper.MaxSectionBytes {
		return nil, merry.Prependf(keeper.ErrMalformed, "decompress section: %d bytes exceed the limit", size)
	}
	content, err := decoder().DecodeAll(packed, make([]byte, 0, size))
	if err != nil {
		return nil, merry.Prepend(err, "decompress section")
	}
	return content, nil
}

// ChangeSizes returns the protobuf bytes that a peer with the revision before
// exchanges with one parent for the revision after: head for the head delta, and
// sections for the request and the replies of the changed sections.
func ChangeSizes(before, after keeper.Head, content func(keeper.Hash) []byte) (head, sections int) {
	present := make(map[keeper.Hash]bool)
	for _, r := range before.Sections() {
		present[r.Hash()] = true
	}
	var missing []keeper.SectionRef
	for _, r := range after.Sections() {
		if !present[r.Hash()] {
			missing = append(missing, r)
		}
	}
	sections = proto.Size(sectionRequest(missing))
	for i, m := range refMessages(missing) {
		c := content(missing[i].Hash())
		sections += proto.Size(sectionReply(m, c, compress(c), true))
	}
	return proto.Size(headDelta(before, after)), sections
}

// compressedSection returns the compressed content of a section. It is cached,
// because every child requests the same sections.
func (l *logic) compressedSection(hash keeper.Hash, content []byte) []byte {
	b, ok := l.compressed[hash]
	if !ok {
		if len(l.compressed) >= maxCompressed {
			clear(l.compressed)
		}
		b = compress(content)
		l.compressed[hash] = b
	}
	return b
}
