package network

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// link is a connection from one region to another, and its far end.
type link struct {
	*qt.C
	host *Host
	near net.Conn
	far  net.Conn
}

func newLink(c *qt.C) *link {
	n := New()
	l := &link{C: c, host: n.Host(Place{Kind: KindInstance, Region: "malabar"})}
	near, far := net.Pipe()
	l.far = far
	var err error
	l.near, err = l.host.adopt(near, &Place{Kind: KindInstance, Region: "ernakulam"})
	c.Assert(err, qt.IsNil)
	return l
}

// send writes one byte and returns how long it takes to arrive.
func (l *link) send() <-chan time.Duration {
	took := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		_, err := l.near.Write([]byte("x"))
		l.Check(err, qt.IsNil)
	}()
	go func() {
		_, err := l.far.Read(make([]byte, 1))
		l.Check(err, qt.IsNil)
		took <- time.Since(began)
	}()
	return took
}

// assertHeldUp checks that a byte sent while held takes until release.
func (l *link) assertHeldUp(hold, release func()) {
	l.Helper()
	hold()
	took := l.send()
	time.Sleep(time.Minute)
	release()
	l.Assert(<-took, qt.Equals, time.Minute+RegionRoundTrip/2)
}

func TestLinkDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(qt.New(t))
		defer l.near.Close()
		first, second := l.send(), l.send()
		l.Assert(<-first, qt.Equals, RegionRoundTrip/2)
		l.Assert(<-second, qt.Equals, RegionRoundTrip/2)

		began := time.Now()
		go func() { _, _ = l.far.Write([]byte("y")) }()
		_, err := l.near.Read(make([]byte, 1))
		l.Assert(err, qt.IsNil)
		l.Assert(time.Since(began), qt.Equals, RegionRoundTrip/2)
	})
}

func TestHoldUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(qt.New(t))
		l.assertHeldUp(l.host.Pause, l.host.Resume)
		l.assertHeldUp(func() { l.host.network.Partition("malabar") }, func() { l.host.network.Partition("") })
		l.host.network.Partition("travancore")
		l.Assert(<-l.send(), qt.Equals, RegionRoundTrip/2)
		l.near.Close()
	})
}

func TestKillFreesWhatIsHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(qt.New(t))
		l.host.Pause()
		failed := make(chan error, 1)
		go func() {
			_, err := l.near.Write([]byte("x"))
			failed <- err
		}()
		synctest.Wait()
		l.host.Kill()
		l.Assert(<-failed, qt.IsNotNil)
	})
}
