package members_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/members"
)

func assertMembers(c *qt.C, l *members.List, instances, leaving int) {
	c.Helper()
	m, err := l.Members(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(m.Instances, qt.HasLen, instances)
	n := 0
	for _, w := range m.Workers {
		if w.Leaving {
			n++
		}
	}
	c.Assert(n, qt.Equals, leaving)
}

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := members.New([]lovagestand.Worker{{Name: "w1"}}, members.WithLag(time.Second))
		l.SetLeaving("w1", true)
		time.Sleep(999 * time.Millisecond)
		assertMembers(c, l, 0, 0)
		time.Sleep(time.Millisecond)
		assertMembers(c, l, 0, 1)
	})
}

func TestUnregisteredInstanceIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := members.New(nil, members.WithLag(time.Second), members.WithDropAfter(3*time.Second))
		instance := lovagestand.Instance{ID: "i1"}
		c.Assert(l.Register(t.Context(), instance), qt.IsNil)
		time.Sleep(2 * time.Second)
		assertMembers(c, l, 1, 0)
		c.Assert(l.Register(t.Context(), instance), qt.IsNil)
		time.Sleep(2 * time.Second)
		assertMembers(c, l, 1, 0)
		time.Sleep(time.Second)
		assertMembers(c, l, 1, 0)
		time.Sleep(time.Second)
		assertMembers(c, l, 0, 0)
	})
}
