package entry

import (
	"regexp"
	"strconv"
	"time"

	"lovagestand.example/lovagestand"
)

const (
	// maxBodyBytes is the largest request body, in bytes.
	maxBodyBytes = 1 << 20
	// maxTasks is the largest number of tasks in a gang.
	maxTasks = 256
	// maxStartWithin is the latest start deadline of a request that needs a
	// claim, counted from its arrival. Workers retain ended tasks for longer
	// than this, so a task that no worker holds is guaranteed not to have run.
	maxStartWithin = 8 * time.Minute
)

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// withDefaults fills in the fields that the request leaves empty with the values
// of its route. It also caps the start deadline by maxStartWithin if the request
// needs a claim.
func withDefaults(request lovagestand.Request, route Route, now time.Time) lovagestand.Request {
	if request.Resources.IsZero() {
		request.Resources = route.Resources
	}
	if request.Tasks == 0 {
		request.Tasks = max(route.Tasks, 1)
	}
	if request.StartBy.IsZero() {
		request.StartBy = now.Add(route.StartWithin)
	}
	if latest := now.Add(maxStartWithin); route.NeedsClaim() && request.StartBy.After(latest) {
		request.StartBy = latest
	}
	if request.RunTime == 0 {
		request.RunTime = route.RunTime
	}
	return request
}

// validate returns an [InvalidError] for the first field that is not valid.
func validate(request lovagestand.Request, route Route) error {
	switch {
	case !keyPattern.MatchString(string(request.Key)):
		return &InvalidError{Field: "key", Reason: "must be 1 to 128 letters, digits or . _ : - and begin with a letter or digit"}
	case request.Team == "":
		return &InvalidError{Field: "team", Reason: "is missing"}
	case !request.Resources.Valid():
		return &InvalidError{Field: "resources", Reason: "must not be negative"}
	case request.Tasks < 0 || request.Tasks > maxTasks:
		return &InvalidError{Field: "tasks", Reason: "must be from 1 to " + strconv.Itoa(maxTasks)}
	case request.Tasks > 1 && route.Class != lovagestand.ClassGang:
		return &InvalidError{Field: "tasks", Reason: "only routes of class gang take more than one task"}
	case request.RunTime < 0:
		return &InvalidError{Field: "runTime", Reason: "must not be negative"}
	case len(request.Body) > maxBodyBytes:
		return &InvalidError{Field: "body", Reason: "is larger than 1 MiB"}
	}
	return nil
}
