package parser

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
)

// TLSFiles holds the paths of a certificate, its private key and the CA
// certificates, and the DNS name to verify.
type TLSFiles struct {
	certificate string
	key         string
	ca          string
	name        string
}

// NewTLSFiles returns a TLSFiles. The name is the DNS name that the peer's
// certificate must carry.
func NewTLSFiles(certificate, key, ca, name string) TLSFiles {
	return TLSFiles{certificate: certificate, key: key, ca: ca, name: name}
}

// CallerTLS returns the files of an agent's HTTP/3 listener. Without a CA file,
// callers need no client certificate.
func (s *Settings) CallerTLS() TLSFiles { return s.newTLSFiles(s.document.TLS.Callers) }

// PeerTLS returns the files for sessions between processes. The name defaults to
// DefaultPeerName.
func (s *Settings) PeerTLS() TLSFiles {
	files := s.newTLSFiles(s.document.TLS.Peers)
	files.name = withDefault(files.name, DefaultPeerName)
	return files
}

// OperatorTLS returns the files of the operator API. They default to those of
// PeerTLS.
func (s *Settings) OperatorTLS() TLSFiles {
	files := s.newTLSFiles(s.document.TLS.Operators)
	if files.certificate == "" {
		return s.PeerTLS()
	}
	return files
}

func (s *Settings) newTLSFiles(d tlsFilesDocument) TLSFiles {
	return NewTLSFiles(s.resolve(d.Certificate), s.resolve(d.Key), s.resolve(d.CA), d.Name)
}

// Certificate returns the path of the certificate chain in PEM format.
func (f TLSFiles) Certificate() string { return f.certificate }

// Key returns the path of the private key in PEM format.
func (f TLSFiles) Key() string { return f.key }

// CA returns the path of the trusted CA certificates in PEM format. It may be
// empty.
func (f TLSFiles) CA() string { return f.ca }

// Name returns the DNS name that the peer's certificate must carry.
func (f TLSFiles) Name() string { return f.name }

// ServerConfig loads the files into a TLS 1.3 server configuration. With a CA
// file, clients must present a certificate signed by one of its authorities.
func (f TLSFiles) ServerConfig() (*tls.Config, error) {
	config, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	if pool != nil {
		config.ClientCAs = pool
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig loads the files into a TLS 1.3 client configuration that presents
// the certificate and verifies the server's certificate against the CA and the
// name. All processes share one name, because hosts are replaced and change
// their addresses. It returns an error if there is no CA file.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	config, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	if pool == nil {
		return nil, merry.New("load TLS files: no CA file to verify servers with")
	}
	config.RootCAs = pool
	config.ServerName = withDefault(f.name, DefaultPeerName)
	return config, nil
}

func (f TLSFiles) load() (*tls.Config, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, nil, merry.Prepend(err, "load TLS certificate")
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	if f.ca == "" {
		return config, nil, nil
	}
	content, err := os.ReadFile(f.ca)
	if err != nil {
		return nil, nil, merry.Prepend(err, "load CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, nil, merry.Errorf("load CA certificates: no certificate in %s", f.ca)
	}
	return config, pool, nil
}
