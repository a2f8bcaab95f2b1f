package router

import (
	"testing"

	"github.com/matryer/is"
)

// TestParseAddress guards against an entry that ends the process: encoding an
// address that is not IPv4 into a packet panics.
func TestParseAddress(t *testing.T) {
	for text, want := range map[string]bool{
		"10.0.0.1:80": true, "10.0.0.1:0": false, "0.0.0.0:80": false, "224.0.0.1:80": false, "[::1]:80": false,
		"[::ffff:10.0.0.1]:80": false, "10.0.0.1": false, "": false, "host:80": false, "10.0.0.1:80000": false,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			address, err := ParseAddress(text)
			is.Equal(err == nil, want)
			is.Equal(address.IsValid(), want)
		})
	}
}
