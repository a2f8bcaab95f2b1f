package parser

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"

	"kingcupvalve.example/kingcupvalve/deriver"
)

// KeyRing returns the key ring. The first entry of the list is the current
// secret. A secret is at least deriver.MinSecretSize bytes in base64 (RFC 4648,
// section 4), given inline or as the content of a file. Errors name the entry
// and never contain the secret.
func (s *Settings) KeyRing() (*deriver.KeyRing, error) {
	if len(s.document.KeyRing) == 0 {
		return nil, merry.New("build key ring: no entries")
	}
	secrets := make([]deriver.Secret, len(s.document.KeyRing))
	for i, d := range s.document.KeyRing {
		secret, err := s.readSecret(d)
		if err != nil {
			return nil, merry.Prependf(err, "read key_ring[%d]", i)
		}
		secrets[i] = secret
	}
	return deriver.NewKeyRing(secrets[0], secrets[1:]...)
}

// CheckSecret returns an error if entry i of the key ring can't be read or
// decoded. It panics if there is no such entry.
func (s *Settings) CheckSecret(i int) error {
	_, err := s.readSecret(s.document.KeyRing[i])
	return err
}

// SecretIDs returns the ids of the key ring's entries in document order.
func (s *Settings) SecretIDs() []uint8 {
	ids := make([]uint8, len(s.document.KeyRing))
	for i, d := range s.document.KeyRing {
		ids[i] = d.ID
	}
	return ids
}

func (s *Settings) readSecret(d secretDocument) (deriver.Secret, error) {
	text := d.Value
	if d.File != "" {
		content, err := os.ReadFile(s.resolve(d.File))
		if err != nil {
			return deriver.Secret{}, merry.Prepend(err, "read secret file")
		}
		text = string(content)
	}
	value, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		return deriver.Secret{}, merry.New("decode secret: not standard base64")
	}
	return deriver.NewSecret(d.ID, value)
}

// resolve resolves a path relative to the directory of the settings file.
// Absolute and empty paths are returned unchanged.
func (s *Settings) resolve(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(s.directory, name)
}
