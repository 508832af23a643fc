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
	baseRows, editedRows, mergedRows := splitRows(base), splitRows(mine), splitRows(theirs)
	var conflicts []Row
	for _, d := range Diff(base, mine) {
		current, inCurrent := mergedRows[d.Row]
		original, inBase := baseRows[d.Row]
		wanted, inEdit := editedRows[d.Row]
		switch {
		case inCurrent == inEdit && current == wanted:
		case inCurrent != inBase || current != original:
			conflicts = append(conflicts, d.Row)
		case inEdit:
			mergedRows[d.Row] = wanted
		default:
			delete(mergedRows, d.Row)
		}
	}
	if len(conflicts) > 0 {
		return Tables{}, &MergeConflictError{Rows: conflicts}
	}
	return joinRows(theirs.revision, mergedRows)
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

// checkOrphanTeams reports teams whose pool is gone.
func checkOrphanTeams(teams map[string][]Team) error {
	var errs document.Errors
	for pool, list := range teams {
		errs = append(errs, &document.Error{
			File:    PoolsTable.File(),
			Key:     Row{PoolsTable, pool, list[0].Name}.String(),
			Problem: fmt.Sprintf("pool %q was removed by another change", pool),
			Hint:    "fetch the tables in force and edit again",
		})
	}
	slices.SortFunc(errs, func(a, b *document.Error) int { return compare(a.Key, b.Key) })
	return errs.ErrorOrNil()
}
