// Package deriver derives the keys of each purpose (connection ID marks,
// tunnel MACs, tickets, stateless resets) from a ring of shared secrets.
//
// A ring has one current secret, whose keys sign and encrypt, and any number of
// previous ones, whose keys only verify and decrypt. To rotate the secret
// without interruption, add the new one to every process as a previous secret,
// then make it the current one, then remove the old one.
//
// # Usage
//
//	secret, err := deriver.NewSecret(1, value)
//	ring, err := deriver.NewKeyRing(secret)
//	keys, err := ring.Derive("tunnel mac", 16)
//	current := keys[0]
package deriver

import (
	"crypto/hkdf"
	"crypto/sha256"

	"github.com/ansel1/merry/v2"
)

// MinSecretSize is the smallest permitted size of a secret in bytes.
const MinSecretSize = 32

// MaxSecretID is the largest id of a secret. Connection IDs hold the id in 4
// bits, since it shares a byte with the format version.
const MaxSecretID = 15

// Secret is one of the shared secrets of a key ring.
type Secret struct {
	id    uint8
	value []byte
}

// NewSecret returns a secret with a copy of value. It fails when the id is above
// MaxSecretID or the value has fewer than MinSecretSize bytes.
func NewSecret(id uint8, value []byte) (Secret, error) {
	if id > MaxSecretID {
		return Secret{}, merry.Errorf("check secret: id %d is above %d", id, MaxSecretID)
	}
	if len(value) < MinSecretSize {
		return Secret{}, merry.Errorf("check secret %d: %d bytes, want at least %d", id, len(value), MinSecretSize)
	}
	return Secret{id: id, value: append([]byte(nil), value...)}, nil
}

// KeyRing is an ordered set of secrets, the current one first. It is immutable.
type KeyRing struct {
	secrets []Secret
}

// NewKeyRing returns a key ring. It fails when two secrets have the same id or
// one is the zero Secret.
func NewKeyRing(current Secret, previous ...Secret) (*KeyRing, error) {
	secrets := append([]Secret{current}, previous...)
	seen := make(map[uint8]bool, len(secrets))
	for _, s := range secrets {
		if len(s.value) < MinSecretSize {
			return nil, merry.Errorf("build key ring: secret %d is empty", s.id)
		}
		if seen[s.id] {
			return nil, merry.Errorf("build key ring: duplicate secret id %d", s.id)
		}
		seen[s.id] = true
	}
	return &KeyRing{secrets: secrets}, nil
}

// Key is a key that is derived from one secret.
type Key struct {
	id    uint8
	bytes []byte
}

// ID returns the id of the secret that the key is derived from.
func (k Key) ID() uint8 { return k.id }

// Bytes returns the key. The caller must not change it.
func (k Key) Bytes() []byte { return k.bytes }

// Derive returns one key of size bytes for each secret, that of the current one
// first (HKDF with SHA-256, RFC 5869). Different purposes give independent keys.
func (r *KeyRing) Derive(purpose string, size int) ([]Key, error) {
	keys := make([]Key, len(r.secrets))
	for i, s := range r.secrets {
		b, err := hkdf.Key(sha256.New, s.value, nil, "kingcupvalve "+purpose, size)
		if err != nil {
			return nil, merry.Prependf(err, "derive key for %s", purpose)
		}
		keys[i] = Key{id: s.id, bytes: b}
	}
	return keys, nil
}
