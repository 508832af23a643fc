package document

import (
	"fmt"
	"sort"
	"strings"
)

// maxDistance is the maximum number of edits between a name and a suggestion.
const maxDistance = 3

// Suggest returns a hint with the known name nearest to name. If none is near,
// it lists all known names, or returns an empty hint if there are more than 12.
func Suggest(name string, known []string) string {
	if near := Nearest(name, known); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	const maxListed = 12
	if len(known) == 0 || len(known) > maxListed {
		return ""
	}
	sorted := append([]string(nil), known...)
	sort.Strings(sorted)
	return "known: " + strings.Join(sorted, ", ")
}

// Nearest returns the known name with the fewest edits from name, or an empty
// string if all known names are too different.
func Nearest(name string, known []string) string {
	best, least := "", min(maxDistance, len(name)/2)+1
	for _, k := range known {
		if d := distance(strings.ToLower(name), strings.ToLower(k)); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance returns the Levenshtein distance between a and b in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			replaced := diagonal
			if a[i-1] != b[j-1] {
				replaced++
			}
			diagonal = row[j]
			row[j] = min(replaced, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
