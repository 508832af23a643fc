package table

import (
	"fmt"
	"slices"
	"strings"

	"lovagestand.example/lovagestand/common/document"
)

// Merge is a three-way merge of an operator's edit with the changes that were
// accepted in the meantime. The argument base holds the tables that the edit
// started from, mine the edited tables, and theirs the newest accepted tables.
//
// If only one side changed a row, the result has that side's version. If both
// sides made the same change, the result has it too. If they changed a row
// differently, Merge fails with a [MergeConflictError]. If the merged tables are
// invalid, it fails with [document.Errors].
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

// MergeConflictError is returned when both sides of a merge changed the same rows
// differently.
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

// checkOrphanTeams fails if any teams are left whose pool no longer exists, because
// one side of a merge removed the pool and the other side changed its teams.
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
