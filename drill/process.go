package drill

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a running process of the program.
type Process interface {
	// PID returns its id.
	PID() int
	// Signal sends it a signal.
	Signal(syscall.Signal) error
	// Wait waits for its end; an exit code but 0 is an error. It may be called
	// more than once.
	Wait() error
}

// Starter starts the program with arguments; name is for its log.
type Starter func(name string, args ...string) (Process, error)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// The places of fields in /proc/PID/stat, counted from the one after the name.
const (
	userTicksField   = 11
	systemTicksField = 12
)

// Usage is what a process has taken of its machine.
type Usage struct {
	// Processor is the processor time since its start.
	Processor time.Duration
	// ResidentBytes is its resident memory now.
	ResidentBytes int64
}

// ReadUsage reads the usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	directory := "/proc/" + strconv.Itoa(pid)
	stat, err := os.ReadFile(directory + "/stat")
	if err != nil {
		return Usage{}, errors.Wrap(err, "usage")
	}
	statm, err := os.ReadFile(directory + "/statm")
	if err != nil {
		return Usage{}, errors.Wrap(err, "usage")
	}
	return parseUsage(stat, statm, os.Getpagesize())
}

// parseUsage reads the texts of /proc/PID/stat and statm.
func parseUsage(stat, statm []byte, pageBytes int) (Usage, error) {
	// The name may have blanks and brackets; it ends at the last bracket.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	pages := bytes.Fields(statm)
	if len(fields) <= systemTicksField || len(pages) < 2 {
		return Usage{}, errors.New("usage: too few fields")
	}
	var numbers []int64
	for _, f := range [][]byte{fields[userTicksField], fields[systemTicksField], pages[1]} {
		n, err := strconv.ParseInt(string(f), 10, 64)
		if err != nil {
			return Usage{}, errors.Wrap(err, "usage")
		}
		numbers = append(numbers, n)
	}
	ticks := time.Duration(numbers[0] + numbers[1])
	return Usage{
		Processor:     ticks * time.Second / ticksPerSecond,
		ResidentBytes: numbers[2] * int64(pageBytes),
	}, nil
}
