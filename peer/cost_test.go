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
	costWarmup      = 15 * time.Second
	costMeasurement = 10 * time.Second
	// racksPerInstance is the number of racks per instance. Each rack is a shard.
	racksPerInstance = 6
)

// countingListener counts all bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements [net.Listener].
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements [net.Conn].
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements [net.Conn].
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// loopbackFleet is a fleet in real time whose instances communicate over TCP.
type loopbackFleet struct {
	fleet *fleet
	bytes atomic.Int64
}

func newLoopbackFleet(b *testing.B, count, regions int) *loopbackFleet {
	l := &loopbackFleet{fleet: newFleet(0, regions, racksPerInstance*count/regions)}
	for i := range count {
		l.start(b, i, regions)
	}
	return l
}

func (l *loopbackFleet) start(b *testing.B, i, regions int) {
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
	p := peer.New(self, l.fleet.store, l.fleet.memberList, peer.WithClient(&http.Client{Transport: transport}))
	p.SetDigestFunc(digestsOf(p))
	server := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(countingListener{Listener: listener, bytes: &l.bytes}) }()
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

// storeCalls returns the store calls of all instances so far: reads, writes, watches.
func (l *loopbackFleet) storeCalls() (reads, writes, watches int64) {
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

// BenchmarkSteadyState measures the network traffic, processor time and store calls
// of a fleet in steady state. It runs in real time over loopback, with all clients
// and servers in one process.
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
	l := newLoopbackFleet(b, instances, regions)
	defer l.fleet.stop()
	time.Sleep(costWarmup)
	reads, writes, watches := l.storeCalls()
	bytes, cpu, began := l.bytes.Load(), cpuTime(), time.Now()
	time.Sleep(costMeasurement)
	seconds := time.Since(began).Seconds()
	instanceSeconds := seconds * float64(instances)
	readsAfter, writesAfter, watchesAfter := l.storeCalls()
	b.ReportMetric(float64(l.bytes.Load()-bytes)/instanceSeconds/1000, "kB/s/instance")
	b.ReportMetric((cpuTime()-cpu).Seconds()/instanceSeconds*100, "%core/instance")
	b.ReportMetric(float64(readsAfter-reads)/seconds, "storeReads/s")
	b.ReportMetric(float64(writesAfter-writes)/seconds, "storeWrites/s")
	b.ReportMetric(float64(watchesAfter-watches)/seconds, "storeWatches/s")
	b.ReportMetric(float64(len(l.fleet.peers[0].Entries())), "entries")
}
