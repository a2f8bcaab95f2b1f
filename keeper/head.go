package keeper

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/ansel1/merry/v2"
)

// Keys under which the platform stores a published configuration.
const (
	// HeadKey is the key of the head.
	HeadKey = "fleet/head"
	// SectionPrefix precedes NAME/HASH in the key of a section, where HASH is
	// the SHA-256 in hexadecimal digits.
	SectionPrefix = "fleet/sections/"
)

// Limits of a head. At the fleet size that the system is designed for, a head
// has 65 sections of about 17 KB.
const (
	// MaxSections is the largest number of sections of a head.
	MaxSections = 128
	// MaxSectionBytes is the largest size of a section, which is that of the
	// largest value that the platform stores.
	MaxSectionBytes = 1 << 20
	// MaxTotalBytes is the largest size of all sections of a head. It bounds the
	// memory of one revision; the one in force and the highest refused one may
	// be held at once, besides the candidates.
	MaxTotalBytes = 16 << 20
	// MaxHeadBytes is the largest size of the JSON form of a head.
	MaxHeadBytes = 64 << 10
	// MaxNameBytes is the largest length of a section name.
	MaxNameBytes = 64
)

// Hash is the SHA-256 of a section's content.
type Hash [sha256.Size]byte

// String returns the hash in lower-case hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// SectionRef identifies the content of one section of a revision.
type SectionRef struct {
	name string
	hash Hash
	size uint64
}

// NewSectionRef returns a reference with the given hash and size in bytes.
func NewSectionRef(name string, hash Hash, size uint64) SectionRef {
	return SectionRef{name: name, hash: hash, size: size}
}

// ComputeRef returns the reference of a section with the given content.
func ComputeRef(name string, content []byte) SectionRef {
	return SectionRef{name: name, hash: sha256.Sum256(content), size: uint64(len(content))}
}

// Name returns the name of the section.
func (r SectionRef) Name() string { return r.name }

// Hash returns the SHA-256 of the content.
func (r SectionRef) Hash() Hash { return r.hash }

// Size returns the size of the content in bytes.
func (r SectionRef) Size() uint64 { return r.size }

// Key returns the platform key of the section.
func (r SectionRef) Key() string { return SectionPrefix + r.name + "/" + r.hash.String() }

// Head is the manifest of a configuration: the revision number and a reference
// to each section. Heads are immutable.
type Head struct {
	revision uint64
	sections []SectionRef
	digest   Hash
}

// NewHead returns a head with its sections sorted by name. It fails with
// ErrMalformed when the revision is 0, a limit is exceeded, or a section name is
// invalid or used twice.
func NewHead(revision uint64, sections []SectionRef) (Head, error) {
	h := Head{revision: revision, sections: slices.Clone(sections)}
	slices.SortFunc(h.sections, func(a, b SectionRef) int { return cmp.Compare(a.name, b.name) })
	if err := h.check(); err != nil {
		return Head{}, err
	}
	h.digest = sha256.Sum256(h.Encode())
	return h, nil
}

func (h Head) check() error {
	if h.revision == 0 {
		return merry.Prepend(ErrMalformed, "check head: revision is 0")
	}
	if len(h.sections) == 0 || len(h.sections) > MaxSections {
		return merry.Prependf(ErrMalformed, "check head: %d sections, want 1 to %d", len(h.sections), MaxSections)
	}
	var total uint64
	for i, r := range h.sections {
		if !isSectionName(r.name) {
			return merry.Prependf(ErrMalformed, "check head: invalid section name %q", r.name)
		}
		if i > 0 && r.name == h.sections[i-1].name {
			return merry.Prependf(ErrMalformed, "check head: duplicate section %s", r.name)
		}
		if r.size > MaxSectionBytes {
			return merry.Prependf(ErrMalformed, "check head: section %s has %d bytes, limit %d", r.name, r.size, MaxSectionBytes)
		}
		total += r.size
	}
	if total > MaxTotalBytes {
		return merry.Prependf(ErrMalformed, "check head: %d bytes in total, limit %d", total, MaxTotalBytes)
	}
	return nil
}

// isSectionName reports whether a name can be part of a platform key: 1 to
// MaxNameBytes of a-z, 0-9, '-', '_' and '.', not starting with a dot.
func isSectionName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || name[0] == '.' {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

// Revision returns the revision number, at least 1. The zero Head has 0.
func (h Head) Revision() uint64 { return h.revision }

// Sections returns the sections sorted by name. The caller must not change them.
func (h Head) Sections() []SectionRef { return h.sections }

// Digest returns the SHA-256 of the head's JSON form, which identifies its
// revision and content.
func (h Head) Digest() Hash { return h.digest }

// headDocument is the JSON form of a Head.
type headDocument struct {
	Revision uint64            `json:"revision"`
	Sections []sectionDocument `json:"sections"`
}

// sectionDocument is the JSON form of a SectionRef.
type sectionDocument struct {
	Name      string `json:"name"`
	SHA256    string `json:"sha256"`
	SizeBytes uint64 `json:"size_bytes"`
}

// Encode returns the JSON form that is published at HeadKey.
func (h Head) Encode() []byte {
	document := headDocument{Revision: h.revision, Sections: make([]sectionDocument, len(h.sections))}
	for i, r := range h.sections {
		document.Sections[i] = sectionDocument{Name: r.name, SHA256: r.hash.String(), SizeBytes: r.size}
	}
	b, err := json.Marshal(document)
	if err != nil {
		panic(err) // numbers and validated strings can always be encoded
	}
	return b
}

// ParseHead decodes the JSON form of a head. Unknown fields are ignored, so
// that later versions can add fields. It fails with ErrMalformed.
func ParseHead(b []byte) (Head, error) {
	if len(b) > MaxHeadBytes {
		return Head{}, merry.Prependf(ErrMalformed, "parse head: %d bytes, limit %d", len(b), MaxHeadBytes)
	}
	var document headDocument
	if err := json.Unmarshal(b, &document); err != nil {
		return Head{}, merry.Prependf(ErrMalformed, "parse head: %v", err)
	}
	sections := make([]SectionRef, len(document.Sections))
	for i, s := range document.Sections {
		hash, err := hex.DecodeString(s.SHA256)
		if err != nil || len(hash) != sha256.Size {
			return Head{}, merry.Prependf(ErrMalformed, "parse head: invalid sha256 of section %q", s.Name)
		}
		sections[i] = NewSectionRef(s.Name, Hash(hash), s.SizeBytes)
	}
	return NewHead(document.Revision, sections)
}
