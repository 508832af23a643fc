package table

import (
	"fmt"
	"regexp"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

// Limits on the values in a row.
const (
	// MaxNameBytes is the maximum length of a name.
	MaxNameBytes = 63
	// MaxDescriptionBytes is the maximum length of a description.
	MaxDescriptionBytes = 256
	// MaxGangTasks is the maximum number of tasks in a gang.
	MaxGangTasks = 1000
	// MaxDuration is the maximum start timeout and the maximum run time.
	MaxDuration = 366 * 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checker collects the errors of both tables. The key of an error, such as
// "pools[2].name", is the position of the value in its file.
type checker struct {
	sources *sources
	table   Name
	errs    document.Errors
}

// check validates both tables and returns all errors. The routes are checked last
// because they refer to pools.
func check(routes []Route, pools []Pool, s *sources) document.Errors {
	c := &checker{sources: s, table: PoolsTable}
	poolNames := c.checkPools(pools)
	c.table = RoutesTable
	c.checkRoutes(routes, poolNames)
	return c.errs
}

func (c *checker) addError(key, hint, format string, args ...any) {
	c.errs = append(c.errs, c.sources.errorAt(c.table, key, fmt.Sprintf(format, args...), hint))
}

func (c *checker) checkName(key, name string) {
	switch {
	case name == "":
		c.addError(key, "every row needs one", "is missing")
	case len(name) > MaxNameBytes:
		c.addError(key, "", "is longer than %d bytes", MaxNameBytes)
	case !namePattern.MatchString(name):
		c.addError(key, "use letters, digits, '.', '_' and '-'", "%q is not a name", name)
	}
}

// checkUnique adds an error if a name was seen before, and adds the name to seen.
func (c *checker) checkUnique(key, name string, seen map[string]bool) {
	if seen[name] {
		c.addError(key, "rename or remove one row", "%q is given twice", name)
	}
	seen[name] = true
}

func (c *checker) checkAmount(key string, a Amount) {
	if !a.Value().Valid() || a.Accelerators > document.MaxUnits {
		c.addError(key, "", "is out of range")
	}
}

// checkNumber adds an error unless n is between 0 and [document.MaxUnits]. NaN is
// an error.
func (c *checker) checkNumber(key string, n float64) {
	if !(n >= 0 && n <= float64(document.MaxUnits)) {
		c.addError(key, "", "%v is out of range", n)
	}
}

func (c *checker) checkCount(key string, n, maximum int) {
	if n < 0 || n > maximum {
		c.addError(key, "", "%d is not between 0 and %d", n, maximum)
	}
}

func (c *checker) checkDuration(key string, d time.Duration) {
	if d < 0 || d > MaxDuration {
		c.addError(key, "", "%s is not between 0s and %s", d, MaxDuration)
	}
}

func (c *checker) checkDescription(key, text string) {
	if len(text) > MaxDescriptionBytes {
		c.addError(key, "", "is longer than %d bytes", MaxDescriptionBytes)
	}
}

// classNames returns the names of all classes, for hints in error messages.
func classNames() []string {
	var names []string
	for _, class := range lovagestand.Classes() {
		names = append(names, string(class))
	}
	return names
}
