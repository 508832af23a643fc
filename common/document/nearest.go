package document

import (
	"fmt"
	"sort"
	"strings"
)

// maxDistance is the most edits at which a name is still offered as a hint.
const maxDistance = 3

// Suggest returns a hint naming the known name nearest to name, or all known
// names where none is near and they are few.
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

// Nearest returns the known name with the fewest edits from name; empty if
// none is near.
func Nearest(name string, known []string) string {
	best, least := "", min(maxDistance, len(name)/2)+1
	for _, k := range known {
		if d := distance(strings.ToLower(name), strings.ToLower(k)); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance is the count of single-byte edits that turn a into b.
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
