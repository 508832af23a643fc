// Command stand starts a small installation of real processes on loopback addresses, with
// stand-ins for the platform's store, its runners and consumers, and plays a case against it.
package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(*record) (int, error){
	"crash-loop":      crashLoop,
	"vanished-owners": vanishedOwners,
	"busy-fleet":      busyFleet,
	"suspects":        suspects,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	status, err := cases[os.Args[1]](rec)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = failed
	}
	rec.printf("exit status %d", status)
	os.Exit(status)
}
