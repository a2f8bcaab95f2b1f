package agent

import (
	"crypto/tls"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// TestStreamLimit guards against a caller that exhausts an agent's memory with
// open requests on one connection.
func TestStreamLimit(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, echo)
	config := &tls.Config{RootCAs: c.tls.RootCAs, ServerName: authority, NextProtos: []string{http3.NextProtoH3}}
	conn, err := quic.DialAddr(t.Context(), c.relayer.Address().String(), config, &quic.Config{})
	is.NoErr(err)
	defer conn.CloseWithError(0, "")
	opened := 0
	for err == nil && opened <= DefaultStreams {
		if _, err = conn.OpenStream(); err == nil {
			opened++
		}
	}
	var limit quic.StreamLimitReachedError
	is.True(errors.As(err, &limit) || errors.As(err, new(*quic.StreamLimitReachedError)))
	is.Equal(opened, DefaultStreams)
}
