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

// attempt names one try at one part of a request.
type attempt struct {
	// Request is the task of the whole request.
	Request lovagestand.TaskID
	// Part is the index within a gang, 0 for a request of one task.
	Part int
	// Number counts the tries at the part, from 1.
	Number int
}

// ID returns the TaskID under which the attempt runs on a worker.
func (a attempt) ID() lovagestand.TaskID {
	return lovagestand.TaskID(fmt.Sprintf("%s%s%d.%d", a.Request, attemptSeparator, a.Part, a.Number))
}

// attemptOf reads the TaskID of an attempt; false if it is not one.
func attemptOf(id lovagestand.TaskID) (attempt, bool) {
	cut := strings.LastIndex(string(id), attemptSeparator)
	if cut < 0 {
		return attempt{}, false
	}
	part, number, ok := strings.Cut(string(id[cut+1:]), ".")
	if !ok {
		return attempt{}, false
	}
	p, err := strconv.Atoi(part)
	if err != nil {
		return attempt{}, false
	}
	n, err := strconv.Atoi(number)
	if err != nil {
		return attempt{}, false
	}
	return attempt{Request: id[:cut], Part: p, Number: n}, true
}
