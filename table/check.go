package table

import (
	"fmt"
	"regexp"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

// Bounds of what a row may hold.
const (
	// MaxNameBytes is the longest name.
	MaxNameBytes = 63
	// MaxDescriptionBytes is the longest description.
	MaxDescriptionBytes = 256
	// MaxGangTasks is the largest gang.
	MaxGangTasks = 1000
	// MaxDuration is the longest time limit or run time.
	MaxDuration = 366 * 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checker collects the faults of both tables.
type checker struct {
	sources *sources
	table   Name
	faults  document.Errors
}

func check(routes []Route, pools []Pool, s *sources) document.Errors {
	c := &checker{sources: s, table: PoolsTable}
	known := c.pools(pools)
	c.table = RoutesTable
	c.routes(routes, known)
	return c.faults
}

func (c *checker) fault(key, hint, format string, args ...any) {
	c.faults = append(c.faults, c.sources.fault(c.table, key, fmt.Sprintf(format, args...), hint))
}

func (c *checker) name(key, name string) {
	switch {
	case name == "":
		c.fault(key, "every row needs one", "is missing")
	case len(name) > MaxNameBytes:
		c.fault(key, "", "is longer than %d bytes", MaxNameBytes)
	case !namePattern.MatchString(name):
		c.fault(key, "use letters, digits, '.', '_' and '-'", "%q is not a name", name)
	}
}

// unique reports a name that was seen before.
func (c *checker) unique(key, name string, seen map[string]bool) {
	if seen[name] {
		c.fault(key, "rename or remove one row", "%q is given twice", name)
	}
	seen[name] = true
}

func (c *checker) amount(key string, a Amount) {
	if !a.Value().Valid() || a.Accelerators > document.MaxUnits {
		c.fault(key, "", "is out of range")
	}
}

func (c *checker) number(key string, n float64) {
	if !(n >= 0 && n <= float64(document.MaxUnits)) {
		c.fault(key, "", "%v is out of range", n)
	}
}

func (c *checker) count(key string, n, most int) {
	if n < 0 || n > most {
		c.fault(key, "", "%d is not between 0 and %d", n, most)
	}
}

func (c *checker) length(key string, d time.Duration) {
	if d < 0 || d > MaxDuration {
		c.fault(key, "", "%s is not between 0s and %s", d, MaxDuration)
	}
}

func (c *checker) description(key, text string) {
	if len(text) > MaxDescriptionBytes {
		c.fault(key, "", "is longer than %d bytes", MaxDescriptionBytes)
	}
}

// classNames lists the classes of work for hints.
func classNames() []string {
	var names []string
	for _, class := range lovagestand.Classes() {
		names = append(names, string(class))
	}
	return names
}
