package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/peer"
)

const (
	costWarmup  = 15 * time.Second
	costMeasure = 10 * time.Second
	// racksEach is how many shards there are for each instance.
	racksEach = 6
)

// countedListener counts all bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements [net.Listener].
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{Conn: conn, bytes: l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements [net.Conn].
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// loopback is a fleet in real time whose instances talk over TCP.
type loopback struct {
	fleet *fleet
	bytes atomic.Int64
}

func newLoopback(b *testing.B, count, regions int) *loopback {
	l := &loopback{fleet: newFleet(0, regions, racksEach*count/regions)}
	for i := range count {
		l.start(b, i, regions)
	}
	return l
}

func (l *loopback) start(b *testing.B, i, regions int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	self := lovagestand.Instance{
		ID:            lovagestand.InstanceID(fmt.Sprintf("instance-of-a-long-name-%02d", i)),
		Address:       listener.Addr().String(),
		Region:        regionName(i % regions),
		FailureDomain: lovagestand.FailureDomain(fmt.Sprintf("domain%d", i/regions%3)),
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	p := peer.New(self, l.fleet.store, l.fleet.list, peer.WithClient(&http.Client{Transport: transport}))
	p.SetDigestFunc(digestsOf(p))
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(countedListener{Listener: listener, bytes: &l.bytes}) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	l.fleet.peers = append(l.fleet.peers, p)
	l.fleet.stops = append(l.fleet.stops, func() {
		cancel()
		<-done
		_ = server.Close()
		transport.CloseIdleConnections()
	})
}

// calls returns the store calls of all instances so far: reads, writes, watches.
func (l *loopback) calls() (reads, writes, watches int64) {
	for _, p := range l.fleet.peers {
		reads += p.Counters().StoreReads.Value()
		writes += p.Counters().StoreWrites.Value()
		watches += p.Counters().StoreWatches.Value()
	}
	return reads, writes, watches
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSteadyState measures what a fleet in steady state costs, in real
// time over loopback, client and server in one process.
func BenchmarkSteadyState(b *testing.B) {
	for _, size := range []struct{ instances, regions int }{{3, 3}, {9, 3}, {18, 3}, {39, 6}} {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			for range b.N {
				measureCost(b, size.instances, size.regions)
			}
		})
	}
}

func measureCost(b *testing.B, instances, regions int) {
	l := newLoopback(b, instances, regions)
	defer l.fleet.stop()
	time.Sleep(costWarmup)
	reads, writes, watches := l.calls()
	bytes, cpu, began := l.bytes.Load(), cpuTime(), time.Now()
	time.Sleep(costMeasure)
	seconds := time.Since(began).Seconds()
	each := seconds * float64(instances)
	readsAfter, writesAfter, watchesAfter := l.calls()
	b.ReportMetric(float64(l.bytes.Load()-bytes)/each/1000, "kB/s/instance")
	b.ReportMetric((cpuTime()-cpu).Seconds()/each*100, "%core/instance")
	b.ReportMetric(float64(readsAfter-reads)/seconds, "storeReads/s")
	b.ReportMetric(float64(writesAfter-writes)/seconds, "storeWrites/s")
	b.ReportMetric(float64(watchesAfter-watches)/seconds, "storeWatches/s")
	b.ReportMetric(float64(len(l.fleet.peers[0].Entries())), "entries")
}
