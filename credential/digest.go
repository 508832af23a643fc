package credential

import "crypto/sha256"

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// String implements fmt.Stringer. It prints nothing of the digest, since keys that are
// easy to guess can be found from it.
func (Digest) String() string { return "redacted" }
