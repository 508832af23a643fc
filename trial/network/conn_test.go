package network

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// testLink is a connection between two regions with both of its ends.
type testLink struct {
	*qt.C
	host *Host
	near net.Conn
	far  net.Conn
}

func newTestLink(c *qt.C) *testLink {
	n := New()
	l := &testLink{C: c, host: n.Host(Place{Kind: KindInstance, Region: "malabar"})}
	near, far := net.Pipe()
	l.far = far
	var err error
	l.near, err = l.host.addConn(near, &Place{Kind: KindInstance, Region: "ernakulam"})
	c.Assert(err, qt.IsNil)
	return l
}

// send writes one byte and returns how long it takes to arrive.
func (l *testLink) send() <-chan time.Duration {
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

// assertBlocked checks that a byte sent after block arrives only after unblock.
func (l *testLink) assertBlocked(block, unblock func()) {
	l.Helper()
	block()
	took := l.send()
	time.Sleep(time.Minute)
	unblock()
	l.Assert(<-took, qt.Equals, time.Minute+RegionRoundTrip/2)
}

func TestLinkDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(qt.New(t))
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

func TestPauseAndPartitionDelayTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(qt.New(t))
		l.assertBlocked(l.host.Pause, l.host.Resume)
		l.assertBlocked(func() { l.host.network.Partition("malabar") }, func() { l.host.network.Partition("") })
		l.host.network.Partition("travancore")
		l.Assert(<-l.send(), qt.Equals, RegionRoundTrip/2)
		l.near.Close()
	})
}

func TestKillUnblocksWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLink(qt.New(t))
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
