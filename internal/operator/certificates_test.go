package operator

import (
	"crypto/tls"
	"testing"

	"github.com/matryer/is"

	"kingcupvalve.example/kingcupvalve/standin/issuer"
)

type authority struct{ *issuer.Authority }

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a, err := issuer.NewAuthority()
	is.New(t).NoErr(err)
	return &authority{a}
}

// issue returns a certificate for the server name that all processes share.
func (a *authority) issue(t *testing.T) tls.Certificate {
	t.Helper()
	certificate, err := a.Issue("kingcupvalved")
	is.New(t).NoErr(err)
	return certificate
}

func (a *authority) serverConfig(t *testing.T) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{a.issue(t)},
		ClientCAs: a.Pool(), ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

func (a *authority) clientConfig(t *testing.T, certificates ...tls.Certificate) *tls.Config {
	t.Helper()
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: a.Pool(), ServerName: "kingcupvalved", Certificates: certificates}
}
