package table_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/table"
)

// TestReferenceMatchesCode checks that the operators' page documents exactly the
// keys of each row type, in the same order.
func TestReferenceMatchesCode(t *testing.T) {
	text, err := os.ReadFile("../docs/operators/tables.md")
	qt.Assert(t, err, qt.IsNil)
	sections := map[string]any{
		"## routes.yaml": table.Route{}, "### limits": table.Limits{}, "### weights": table.Weights{},
		"### resources": table.Amount{}, "## pools.yaml": table.Pool{}, "### teams": table.Team{},
	}
	for heading, row := range sections {
		t.Run(heading, func(t *testing.T) {
			_, section, found := strings.Cut(string(text), "\n"+heading+"\n")
			qt.Assert(t, found, qt.IsTrue)
			section, _, _ = strings.Cut(section, "\n#")
			var keys []string
			for _, m := range regexp.MustCompile("(?m)^\\| `([^`]*)` \\|").FindAllStringSubmatch(section, -1) {
				keys = append(keys, m[1])
			}
			qt.Assert(t, keys, qt.DeepEquals, keysOf(reflect.TypeOf(row)))
		})
	}
}

// keysOf returns the YAML keys of a struct type.
func keysOf(row reflect.Type) []string {
	var keys []string
	for i := range row.NumField() {
		key, _, _ := strings.Cut(row.Field(i).Tag.Get("yaml"), ",")
		keys = append(keys, key)
	}
	return keys
}
