package placer

import (
	"fmt"
	"strconv"
	"strings"

	"lovagestand.example/lovagestand"
)

// attemptSeparator ends a request's task in the TaskID of one attempt. Request
// keys cannot contain it.
const attemptSeparator = "~"

// attemptFields is how many numbers follow the separator.
const attemptFields = 3

// attempt names one try at one part of a request.
type attempt struct {
	// Request is the task of the whole request.
	Request lovagestand.TaskID
	// Part is the index within a gang, 0 for a request of one task.
	Part int
	// Number counts the tries at the part, from 1.
	Number int
	// Epoch is that of the owner who made the attempt, so that two owners
	// never give two attempts one name.
	Epoch lovagestand.Epoch
}

// ID returns the TaskID under which the attempt runs on a worker.
func (a attempt) ID() lovagestand.TaskID {
	return lovagestand.TaskID(fmt.Sprintf("%s%s%d.%d.%d", a.Request, attemptSeparator, a.Part, a.Number, a.Epoch))
}

// parseAttempt reads the TaskID of an attempt; false if it is not one.
func parseAttempt(id lovagestand.TaskID) (attempt, bool) {
	cut := strings.LastIndex(string(id), attemptSeparator)
	if cut < 0 {
		return attempt{}, false
	}
	fields := strings.Split(string(id[cut+1:]), ".")
	if len(fields) != attemptFields {
		return attempt{}, false
	}
	var numbers [attemptFields]uint64
	for i, f := range fields {
		n, err := strconv.ParseUint(f, 10, 32)
		if err != nil {
			return attempt{}, false
		}
		numbers[i] = n
	}
	return attempt{
		Request: id[:cut],
		Part:    int(numbers[0]),
		Number:  int(numbers[1]),
		Epoch:   lovagestand.Epoch(numbers[2]),
	}, true
}
