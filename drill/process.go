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
	// PID returns the process ID.
	PID() int
	// Signal sends a signal to the process.
	Signal(syscall.Signal) error
	// Wait waits until the process has exited. Any exit code but 0 is an error.
	// Wait may be called more than once.
	Wait() error
}

// Starter starts the program with arguments. The name is that of its log.
type Starter func(name string, args ...string) (Process, error)

// ticksPerSecond is the number of clock ticks per second in which /proc on Linux
// gives processor time.
const ticksPerSecond = 100

// The indexes of fields in /proc/PID/stat, counted from the field after the name.
const (
	userTicksField   = 11
	systemTicksField = 12
)

// Usage is the resource usage of a process.
type Usage struct {
	// Processor is the processor time since the start of the process.
	Processor time.Duration
	// ResidentBytes is the current resident memory.
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

// parseUsage parses the contents of /proc/PID/stat and /proc/PID/statm.
func parseUsage(stat, statm []byte, pageBytes int) (Usage, error) {
	// The name may contain blanks and brackets; it ends at the last bracket.
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
