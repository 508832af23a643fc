package credential

import (
	"crypto/subtle"
	"fmt"

	"lovagestand.example/lovagestand"
)

// Keys holds the keys of all teams in one version of the configuration. It is
// immutable. The zero value holds no key.
type Keys struct {
	owned []ownedDigest
}

// ownedDigest is the digest of one key and the team that the key belongs to.
type ownedDigest struct {
	digest Digest
	team   lovagestand.TeamName
}

// DuplicateError reports that two teams have the same key.
type DuplicateError struct {
	First, Second lovagestand.TeamName
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("teams %q and %q have the same key", e.First, e.Second)
}

// With returns the keys together with one more key of a team. It fails with a
// [DuplicateError] if the key belongs to another team.
func (k Keys) With(team lovagestand.TeamName, digest Digest) (Keys, error) {
	if other, ok := k.find(digest); ok && other != team {
		return Keys{}, &DuplicateError{First: other, Second: team}
	}
	owned := make([]ownedDigest, len(k.owned), len(k.owned)+1)
	copy(owned, k.owned)
	return Keys{owned: append(owned, ownedDigest{digest: digest, team: team})}, nil
}

// Team returns the team that a key belongs to. It returns false if the key is not
// known. The time that it takes depends on the number of keys and the length of the
// key, but not on how much of the key is right.
func (k Keys) Team(key string) (lovagestand.TeamName, bool) {
	return k.find(DigestOf(key))
}

// find compares a digest with all digests, without an early end.
func (k Keys) find(digest Digest) (lovagestand.TeamName, bool) {
	found := -1
	for i := range k.owned {
		equal := subtle.ConstantTimeCompare(k.owned[i].digest[:], digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return k.owned[found].team, true
}

// String implements fmt.Stringer. It prints no digest.
func (k Keys) String() string { return fmt.Sprintf("%d keys", len(k.owned)) }

// GoString implements fmt.GoStringer.
func (k Keys) GoString() string { return k.String() }
