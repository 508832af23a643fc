package credential_test

import (
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/credential"
)

// TestKeys guards against a key that is resolved to the wrong team, and against versions
// that share state.
func TestKeys(t *testing.T) {
	c := qt.New(t)
	var none credential.Keys
	one, err := none.With("a", credential.DigestOf("key-a1"))
	c.Assert(err, qt.IsNil)
	two, err := one.With("a", credential.DigestOf("key-a2"))
	c.Assert(err, qt.IsNil)
	three, err := one.With("b", credential.DigestOf("key-b"))
	c.Assert(err, qt.IsNil)
	assertTeam := func(k credential.Keys, key string, team lovagestand.TeamName) {
		c.Helper()
		got, ok := k.Team(key)
		c.Assert(got, qt.Equals, team)
		c.Assert(ok, qt.Equals, team != "")
	}
	assertTeam(none, "key-a1", "")
	assertTeam(one, "key-a1", "a")
	assertTeam(one, "key-a2", "")
	assertTeam(two, "key-a2", "a")
	assertTeam(two, "key-b", "")
	assertTeam(three, "key-b", "b")
	assertTeam(three, "key-b ", "")
	assertTeam(three, "", "")
	var duplicate *credential.DuplicateError
	_, err = three.With("b", credential.DigestOf("key-a1"))
	c.Assert(err, qt.ErrorAs, &duplicate)
	c.Assert(*duplicate, qt.Equals, credential.DuplicateError{First: "a", Second: "b"})
	_, err = three.With("a", credential.DigestOf("key-a1"))
	c.Assert(err, qt.IsNil, qt.Commentf("a team may list a key twice"))
}

// TestDigestsAreNotPrinted guards against a digest in a log or dump, from which a weak
// key can be found by trying candidates.
func TestDigestsAreNotPrinted(t *testing.T) {
	c := qt.New(t)
	digest := credential.DigestOf("key-a1")
	keys, err := credential.Keys{}.With("a", digest)
	c.Assert(err, qt.IsNil)
	encoded, err := json.Marshal(digest)
	c.Assert(err, qt.IsNil)
	raw := fmt.Sprintf("%d", digest[:4])
	for _, text := range []string{
		string(encoded), fmt.Sprint(digest), fmt.Sprintf("%+v %#v %x %q", digest, digest, digest, digest), fmt.Sprintf("%+v %#v", keys, keys),
	} {
		c.Check(text, qt.Not(qt.Contains), raw[1:len(raw)-1])
		c.Check(text, qt.Not(qt.Contains), fmt.Sprintf("%x", digest[:4]))
	}
}
