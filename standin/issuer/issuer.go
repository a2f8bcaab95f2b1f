// Package issuer creates key rings and TLS certificates for tests and the demo.
//
// # Usage
//
//	ring, err := issuer.NewKeyRing(1)
//	config, err := issuer.NewTLS("cutlist.example")
package issuer

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/deriver"
)

// NewKeyRing returns a key ring with a fixed secret for each id, the current one
// first.
func NewKeyRing(ids ...uint8) (*deriver.KeyRing, error) {
	var secrets []deriver.Secret
	for _, id := range ids {
		secret, err := deriver.NewSecret(id, bytes.Repeat([]byte{id + 1}, deriver.MinSecretSize))
		if err != nil {
			return nil, err
		}
		secrets = append(secrets, secret)
	}
	return deriver.NewKeyRing(secrets[0], secrets[1:]...)
}

// MustKeyRing calls NewKeyRing and fails the test on an error.
func MustKeyRing(t testing.TB, ids ...uint8) *deriver.KeyRing {
	t.Helper()
	ring, err := NewKeyRing(ids...)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

// NewTLS returns a configuration for servers and clients with a self-signed
// certificate. It is valid for one hour, for the names and for 127.0.0.1.
func NewTLS(names ...string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		DNSNames: names, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, merry.Prepend(err, "create certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Prepend(err, "parse certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	config := &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: roots,
	}
	if len(names) > 0 {
		config.ServerName = names[0]
	}
	return config, nil
}
