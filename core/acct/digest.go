package acct

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/pkg/errors"
)

// Digest stands for a caller's key. The key itself is dropped as soon as it is read: it cannot be found from the digest, and the time
// that a comparison of digests takes tells nothing about a key.
type Digest [16]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// Text returns the digest as ParseDigest takes it.
func (d Digest) Text() string { return base64.RawStdEncoding.EncodeToString(d[:]) }

// ParseDigest parses the text of a digest.
func ParseDigest(text string) (Digest, error) {
	bytes, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(bytes) != len(Digest{}) {
		return Digest{}, errors.New("the text is not that of a key's digest")
	}
	return Digest(bytes), nil
}
