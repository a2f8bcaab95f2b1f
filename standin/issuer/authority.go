package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

// certificateLifetime is longer than any run of a test or of the demo.
const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority whose key is held in memory only.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "generate authority key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, merry.Prepend(err, "sign authority certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, merry.Prepend(err, "parse authority certificate")
	}
	return &Authority{certificate: certificate, key: key, serial: 1}, nil
}

// Pool returns a pool with the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Issue returns a certificate for servers and clients. The names may be IP
// addresses; 127.0.0.1 is always one of them.
func (a *Authority) Issue(names ...string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, merry.Prepend(err, "generate key")
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLifetime),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, n := range names {
		if ip := net.ParseIP(n); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, n)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, merry.Prepend(err, "sign certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return tls.Certificate{}, merry.Prepend(err, "parse certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, nil
}

// WriteCA writes the authority's certificate as PEM.
func (a *Authority) WriteCA(path string) error {
	return writePEM(path, &pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// WritePair writes a certificate and its key as PEM, into one file when the
// paths are equal.
func WritePair(certFile, keyFile string, pair tls.Certificate) error {
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return merry.Prepend(err, "encode key")
	}
	certificate := &pem.Block{Type: "CERTIFICATE", Bytes: pair.Certificate[0]}
	privateKey := &pem.Block{Type: "PRIVATE KEY", Bytes: key}
	if certFile == keyFile {
		return writePEM(certFile, certificate, privateKey)
	}
	if err := writePEM(certFile, certificate); err != nil {
		return err
	}
	return writePEM(keyFile, privateKey)
}

func writePEM(path string, blocks ...*pem.Block) error {
	var content []byte
	for _, b := range blocks {
		content = append(content, pem.EncodeToMemory(b)...)
	}
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return merry.Prepend(err, "write PEM file")
	}
	return nil
}
