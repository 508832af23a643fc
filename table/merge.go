package table

import (
	"fmt"
	"slices"
	"strings"

	"lovagestand.example/lovagestand/common/document"
)

// Merge joins an operator's edit with what others accepted meanwhile. Base is
// what the edit began from, mine the edit, theirs what is accepted now. Rows
// that only one side changed are taken from that side, and rows that both
// changed alike are kept; rows that both changed differently fail with a
// [RowsError]. A result that does not check is refused whole.
func Merge(base, mine, theirs Tables) (Tables, error) {
	old, edited, merged := rows(base), rows(mine), rows(theirs)
	var clashes []Row
	for _, d := range Diff(base, mine) {
		now, has := merged[d.Row]
		before, had := old[d.Row]
		after, keeps := edited[d.Row]
		switch {
		case has == keeps && now == after:
		case has != had || now != before:
			clashes = append(clashes, d.Row)
		case keeps:
			merged[d.Row] = after
		default:
			delete(merged, d.Row)
		}
	}
	if len(clashes) > 0 {
		return Tables{}, &MergeConflictError{Rows: clashes}
	}
	return fromRows(theirs.revision, merged)
}

// MergeConflictError says that two sides changed the same rows.
type MergeConflictError struct {
	Rows []Row
}

// Error implements error.
func (e *MergeConflictError) Error() string {
	names := make([]string, len(e.Rows))
	for i, row := range e.Rows {
		names[i] = row.String()
	}
	return "both sides changed " + strings.Join(names, ", ")
}

// orphans reports teams whose pool is gone.
func orphans(teams map[string][]Team) error {
	var faults document.Errors
	for pool, list := range teams {
		faults = append(faults, &document.Error{
			File:    PoolsTable.File(),
			Key:     Row{PoolsTable, pool, list[0].Name}.String(),
			Problem: fmt.Sprintf("pool %q was removed by another change", pool),
			Hint:    "fetch the tables in force and edit again",
		})
	}
	slices.SortFunc(faults, func(a, b *document.Error) int { return compare(a.Key, b.Key) })
	return faults.ErrorOrNil()
}
