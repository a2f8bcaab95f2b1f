package tunneler

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"net"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	proxyproto "github.com/pires/go-proxyproto"
	"pgregory.net/rapid"

	"kingcupvalve.example/kingcupvalve/deriver"
	"kingcupvalve.example/kingcupvalve/standin/seeder"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seeder.SetSeed(23)
	os.Exit(m.Run())
}

func newCodec(ids ...uint8) *Codec {
	var secrets []deriver.Secret
	for _, id := range ids {
		secrets = append(secrets, must(deriver.NewSecret(id, bytes.Repeat([]byte{id + 1}, deriver.MinSecretSize))))
	}
	return must(NewCodec(must(deriver.NewKeyRing(secrets[0], secrets[1:]...))))
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func drawAddress(t *rapid.T, ipv4 bool, label string) netip.AddrPort {
	size := 16
	if ipv4 {
		size = 4
	}
	address, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), size, size).Draw(t, label))
	return netip.AddrPortFrom(address, rapid.Uint16().Draw(t, label+" port"))
}

func drawHeader(t *rapid.T) Header {
	h := Header{
		Service: rapid.Uint16().Draw(t, "service"), Hops: rapid.Byte().Draw(t, "hops"),
		Revision: rapid.Uint64().Draw(t, "revision"), Flags: Flags(rapid.Byte().Draw(t, "flags")),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Target:      rapid.SampledFrom([]uint32{0, 1, 1 << 31}).Draw(t, "target"),
	}
	if family := rapid.SampledFrom([]string{"none", "ipv4", "ipv6"}).Draw(t, "family"); family != "none" {
		h.Source = drawAddress(t, family == "ipv4", "source")
		h.Destination = drawAddress(t, family == "ipv4", "destination")
	}
	return h
}

// TestCodec guards against headers that change on the way or after a key rotation,
// changed or foreign headers that are accepted, and allocations per datagram.
func TestCodec(t *testing.T) {
	codec := newCodec(1)
	t.Run("headers and payloads are decoded unchanged, also after a key rotation", rapid.MakeCheck(func(t *rapid.T) {
		h, payload := drawHeader(t), rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		b := codec.Encode(nil, h, payload)
		if len(b) != h.Size()+len(payload) {
			t.Fatalf("encoded %d bytes, want %d", len(b), h.Size()+len(payload))
		}
		got, rest, err := rotatedCodec.Decode(b)
		if err != nil || got != h || !bytes.Equal(rest, payload) {
			t.Fatalf("decoded %+v, %x, %v; want %+v, %x", got, rest, err, h, payload)
		}
	}))
	t.Run("a header with a changed bit is refused", rapid.MakeCheck(func(t *rapid.T) {
		h := drawHeader(t)
		b := codec.Encode(nil, h, []byte("payload"))
		bit := rapid.IntRange(0, h.Size()*8-1).Draw(t, "bit")
		b[bit/8] ^= 1 << (bit % 8)
		if _, _, err := codec.Decode(b); err == nil {
			t.Fatal("a changed header was accepted")
		}
	}))
	t.Run("a truncated header is refused", func(t *testing.T) {
		is := is.New(t)
		b := codec.Encode(nil, exampleHeader, nil)
		for n := range b {
			_, _, err := codec.Decode(b[:n])
			is.True(err != nil)
		}
	})
	t.Run("a header of another key ring is refused", func(t *testing.T) {
		is := is.New(t)
		_, _, err := newCodec(3).Decode(codec.Encode(nil, exampleHeader, nil))
		is.True(errors.Is(err, ErrKey))
	})
	t.Run("encoding and decoding do not allocate", func(t *testing.T) {
		is := is.New(t)
		buffer, payload := make([]byte, 0, 2048), make([]byte, 1200)
		b := codec.Encode(nil, exampleHeader, payload)
		is.Equal(testing.AllocsPerRun(1000, func() { codec.Encode(buffer, exampleHeader, payload) }), 0.0)
		is.Equal(testing.AllocsPerRun(1000, func() {
			if _, _, err := codec.Decode(b); err != nil {
				panic(err)
			}
		}), 0.0)
	})
}

// TestAgainstProxyproto guards against headers that deviate from the PROXY
// protocol: another implementation must read them, and the headers that it writes
// must be decoded to the same content.
func TestAgainstProxyproto(t *testing.T) {
	codec := newCodec(1)
	t.Run("go-proxyproto reads the same addresses and fields", rapid.MakeCheck(func(t *rapid.T) {
		h := drawHeader(t)
		reader := bufio.NewReader(bytes.NewReader(codec.Encode(nil, h, []byte("datagram"))))
		other, err := proxyproto.Read(reader)
		if err != nil {
			t.Fatal(err)
		}
		fields, err := other.TLVs()
		want := []int{fieldService, fieldHops, fieldRevision, fieldFlags, fieldIncarnation, fieldTarget, fieldMAC}
		if h.Target == 0 {
			want = slices.Delete(want, 5, 6)
		}
		if err != nil || len(fields) != len(want) {
			t.Fatalf("%d fields, %v", len(fields), err)
		}
		for i, f := range fields {
			if int(f.Type) != want[i] || len(f.Value) != int(fieldSizes[want[i]-fieldService]) {
				t.Fatalf("field %d has type %x and %d bytes", i, f.Type, len(f.Value))
			}
		}
		if h.IsLocal() {
			if !other.Command.IsLocal() {
				t.Fatal("not a LOCAL header")
			}
			return
		}
		source, destination, ok := other.UDPAddrs()
		if !ok || !sameAddress(source, h.Source) || !sameAddress(destination, h.Destination) {
			t.Fatalf("addresses %v, %v; want %v, %v", source, destination, h.Source, h.Destination)
		}
	}))
	t.Run("headers written by go-proxyproto are decoded to the same content", rapid.MakeCheck(func(t *rapid.T) {
		h := drawHeader(t)
		b := codec.Encode(nil, h, nil)
		other, err := proxyproto.Read(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			t.Fatal(err)
		}
		again, err := other.Format()
		if err != nil {
			t.Fatal(err)
		}
		if got, _, err := codec.Decode(again); err != nil || got != h {
			t.Fatalf("decoded %+v, %v; want %+v", got, err, h)
		}
	}))
}

func sameAddress(a *net.UDPAddr, b netip.AddrPort) bool {
	return a.IP.Equal(net.IP(b.Addr().AsSlice())) && a.Port == int(b.Port())
}

var (
	rotatedCodec  = newCodec(2, 1)
	exampleHeader = Header{
		Source: netip.MustParseAddrPort("127.0.0.1:4000"), Destination: netip.MustParseAddrPort("127.9.0.1:443"),
		Service: 7, Revision: 9, Flags: FlagTowardCaller, Incarnation: 11,
	}
)

// FuzzDecode guards against panics on malformed datagrams, and against an accepted
// header that does not survive encoding and decoding again.
func FuzzDecode(f *testing.F) {
	codec := newCodec(1)
	f.Fuzz(func(t *testing.T, b []byte) {
		h, payload, err := codec.Decode(b)
		if err != nil {
			return
		}
		again, rest, err := codec.Decode(codec.Encode(nil, h, payload))
		if err != nil || again != h || !bytes.Equal(rest, payload) {
			t.Fatalf("%+v was decoded as %+v, %v", h, again, err)
		}
	})
}
