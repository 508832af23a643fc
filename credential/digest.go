package credential

import "crypto/sha256"

// Digest is the SHA-256 digest of a key. It prints nothing of itself, since keys that
// are easy to guess can be found from their digests.
type Digest [sha256.Size]byte

// redacted is printed in place of a digest.
const redacted = "redacted"

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// String implements fmt.Stringer.
func (Digest) String() string { return redacted }

// GoString implements fmt.GoStringer.
func (Digest) GoString() string { return redacted }

// MarshalText implements [encoding.TextMarshaler].
func (Digest) MarshalText() ([]byte, error) { return []byte(redacted), nil }
