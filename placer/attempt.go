package placer

import (
	"fmt"
	"strconv"
	"strings"

	"lovagestand.example/lovagestand"
)

// attemptSeparator separates the TaskID of a request from the numbers of an
// attempt in the TaskID of that attempt. Request keys cannot contain it.
const attemptSeparator = "~"

// attemptFields is how many numbers follow the separator.
const attemptFields = 3

// attempt identifies one attempt at one part of a request.
type attempt struct {
	// Request is the TaskID of the whole request.
	Request lovagestand.TaskID
	// Part is the index of the part within a gang; 0 for a request with a
	// single task.
	Part int
	// Number counts the attempts at the part, starting at 1.
	Number int
	// Epoch is that of the owner that made the attempt. Because of it, two
	// owners never give the same TaskID to two attempts.
	Epoch lovagestand.Epoch
}

// ID returns the TaskID under which the attempt runs on a worker.
func (a attempt) ID() lovagestand.TaskID {
	return lovagestand.TaskID(fmt.Sprintf("%s%s%d.%d.%d", a.Request, attemptSeparator, a.Part, a.Number, a.Epoch))
}

// parseAttempt parses the TaskID of an attempt. It returns false if id is not
// the TaskID of an attempt.
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
