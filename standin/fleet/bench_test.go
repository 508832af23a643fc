package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/fleet"
)

// BenchmarkStartOverHTTP measures the start of one task on a worker over HTTP.
func BenchmarkStartOverHTTP(b *testing.B) {
	server, err := fleet.Listen("127.0.0.1", fleet.Glazedesk().WithWorkers(1).Specs(), nil)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	workers := platform.NewWorkers()
	address := server.Specs()[0].Address
	n := 0
	for b.Loop() {
		n++
		s := start(lovagestand.TaskID(fmt.Sprint(n)), time.Millisecond)
		if err := workers.Start(context.Background(), address, s); err != nil {
			b.Fatal(err)
		}
	}
}
