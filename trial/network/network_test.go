package network_test

import (
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/trial/network"
)

// fixture is a server and a client on hosts in different regions.
type fixture struct {
	*qt.C
	net            *network.Network
	server, client *network.Host
	transport      *http.Transport
	url            string
}

func newFixture(t *testing.T) *fixture {
	s := &fixture{C: qt.New(t), net: network.New()}
	s.server = s.net.Host(network.Place{Kind: network.KindInstance, Region: "malabar", Domain: "malabar-a"})
	s.client = s.net.Host(network.Place{Kind: network.KindInstance, Region: "ernakulam", Domain: "ernakulam-a"})
	l, err := s.server.Listen()
	s.Assert(err, qt.IsNil)
	s.url = "http://" + l.Addr().String()
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "hello")
	})}
	go func() { _ = h.Serve(l) }()
	s.transport = &http.Transport{DialContext: s.client.Dial}
	t.Cleanup(func() { _ = h.Close(); s.transport.CloseIdleConnections() })
	return s
}

func (s *fixture) get() error {
	r, err := (&http.Client{Transport: s.transport}).Get(s.url)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	s.Check(string(body), qt.Equals, "hello")
	return err
}

func TestBytesAreCounted(t *testing.T) {
	s := newFixture(t)
	s.Assert(s.get(), qt.IsNil)
	b := s.net.Bytes()
	s.Assert(b.Instances > 0, qt.IsTrue)
	s.Assert(b.AcrossRegions, qt.Equals, b.Instances)
	s.Assert(b.Callers, qt.Equals, uint64(0))
}

func TestPartitionFailsDials(t *testing.T) {
	s := newFixture(t)
	s.net.Partition("malabar")
	s.Assert(s.get(), qt.IsNotNil)
	s.net.Partition("travancore")
	s.Assert(s.get(), qt.IsNil)
}

func TestKillBreaksConnections(t *testing.T) {
	s := newFixture(t)
	s.Assert(s.get(), qt.IsNil)
	s.server.Kill()
	s.Assert(s.get(), qt.IsNotNil)
}
