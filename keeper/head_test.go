package keeper

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestParseHead(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	t.Run("a head is unchanged after encoding and parsing", func(t *testing.T) {
		is := is.New(t)
		h := mustHead(3, "b", "a")
		parsed, err := ParseHead(h.Encode())
		is.NoErr(err)
		is.Equal(parsed.Digest(), h.Digest())
		is.Equal(h.Sections()[0].Key(), SectionPrefix+"s-0/"+ComputeRef("", []byte("b")).Hash().String())
	})
	t.Run("the order of sections and the spacing do not change the identity", func(t *testing.T) {
		is := is.New(t)
		a, err := ParseHead([]byte(`{"revision":1,"sections":[{"name":"x","sha256":"` + hash + `","size_bytes":1},{"name":"y","sha256":"` + hash + `","size_bytes":1}]}`))
		is.NoErr(err)
		b, err := ParseHead([]byte(`{"sections": [{"name":"y","sha256":"` + hash + `","size_bytes":1},{"name":"x","sha256":"` + hash + `","size_bytes":1}], "revision": 1}`))
		is.NoErr(err)
		is.Equal(a.Digest(), b.Digest())
	})
	section := func(name string, size int) string {
		return fmt.Sprintf(`{"name":%q,"sha256":%q,"size_bytes":%d}`, name, hash, size)
	}
	many := make([]string, MaxSections+1)
	big := make([]string, MaxTotalBytes/MaxSectionBytes+1)
	for i := range many {
		many[i] = section(fmt.Sprintf("s%d", i), 1)
	}
	for i := range big {
		big[i] = section(fmt.Sprintf("s%d", i), MaxSectionBytes)
	}
	for name, text := range map[string]string{
		"no JSON":             `{`,
		"revision 0":          `{"revision":0,"sections":[` + section("a", 1) + `]}`,
		"negative revision":   `{"revision":-1,"sections":[` + section("a", 1) + `]}`,
		"no sections":         `{"revision":1,"sections":[]}`,
		"a short hash":        `{"revision":1,"sections":[{"name":"a","sha256":"abcd","size_bytes":1}]}`,
		"a path as name":      `{"revision":1,"sections":[` + section("../a", 1) + `]}`,
		"one name twice":      `{"revision":1,"sections":[` + section("a", 1) + `,` + section("a", 2) + `]}`,
		"an oversized value":  `{"revision":1,"sections":[` + section("a", MaxSectionBytes+1) + `]}`,
		"too many sections":   `{"revision":1,"sections":[` + strings.Join(many, ",") + `]}`,
		"too many bytes":      `{"revision":1,"sections":[` + strings.Join(big, ",") + `]}`,
		"an oversized head":   `{"revision":1` + strings.Repeat(" ", MaxHeadBytes) + `}`,
		"size beyond uint64":  `{"revision":1,"sections":[{"name":"a","sha256":"` + hash + `","size_bytes":99999999999999999999}]}`,
		"a section as string": `{"revision":1,"sections":["a"]}`,
	} {
		t.Run(name+" is refused", func(t *testing.T) {
			is := is.New(t)
			_, err := ParseHead([]byte(text))
			is.True(errors.Is(err, ErrMalformed))
		})
	}
}

// FuzzParseHead guards against panics, errors other than ErrMalformed, and heads
// that change when they are encoded and parsed again.
func FuzzParseHead(f *testing.F) {
	f.Add(mustHead(3, "b", "a").Encode())
	f.Add([]byte(`{"revision":18446744073709551615,"sections":[{}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := ParseHead(b)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatal(err)
			}
			return
		}
		again, err := ParseHead(h.Encode())
		if err != nil || again.Digest() != h.Digest() {
			t.Fatalf("digest changed after encoding and parsing: %v", err)
		}
	})
}
