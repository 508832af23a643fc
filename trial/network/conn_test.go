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

// send writes one byte aside and returns how long it took, once read.
func (l *link) send() <-chan time.Duration {
	took := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		_, err := l.near.Write([]byte("x"))
		l.Check(err, qt.IsNil)
		took <- time.Since(began)
	}()
	go func() { _, _ = l.far.Read(make([]byte, 1)) }()
	return took
}

// assertHeldUp checks that a byte sent while held takes until release.
func (l *link) assertHeldUp(hold, release func()) {
	l.Helper()
	hold()
	took := l.send()
	time.Sleep(time.Minute)
	release()
	l.Assert(<-took, qt.Equals, time.Minute)
}

func TestLinkDelaysRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(qt.New(t))
		l.Assert(<-l.send(), qt.Equals, RegionTrip)
		l.Assert(<-l.send(), qt.Equals, time.Duration(0))
	})
}

func TestHoldUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(qt.New(t))
		l.assertHeldUp(l.host.Pause, l.host.Resume)
		l.assertHeldUp(func() { l.host.network.Cut("malabar") }, func() { l.host.network.Cut("") })
		l.host.network.Cut("travancore")
		l.Assert(<-l.send(), qt.Equals, time.Duration(0))
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
