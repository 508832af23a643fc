package table

import "fmt"

// ChangeKind is the way in which a row differs.
type ChangeKind string

// The kinds of difference.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Difference is one row that differs between two versions of the tables.
type Difference struct {
	Row  Row
	Kind ChangeKind
	// Old and New are the row as JSON; empty if that version has no such row.
	Old, New string
}

// String formats the difference as one line. For a changed row, the line contains
// only the fields that differ.
func (d Difference) String() string {
	before, after := rowFields(d.Row, d.Old), rowFields(d.Row, d.New)
	switch d.Kind {
	case Added:
		return fmt.Sprintf("+ %s %s", d.Row, formatFields(after))
	case Removed:
		return fmt.Sprintf("- %s %s", d.Row, formatFields(before))
	default:
		return fmt.Sprintf("~ %s %s", d.Row, formatChange(before, after))
	}
}

// Diff returns the rows that differ between two versions of the tables, sorted by
// row.
func Diff(from, to Tables) []Difference {
	before, after := splitRows(from), splitRows(to)
	union := map[Row]bool{}
	for row := range before {
		union[row] = true
	}
	for row := range after {
		union[row] = true
	}
	var differences []Difference
	for _, row := range sortedRows(union) {
		if d, differs := difference(row, before, after); differs {
			differences = append(differences, d)
		}
	}
	return differences
}

// difference compares one row and reports whether it differs.
func difference(row Row, before, after map[Row]content) (Difference, bool) {
	old, inBefore := before[row]
	updated, inAfter := after[row]
	d := Difference{Row: row, Kind: Changed, Old: string(old), New: string(updated)}
	switch {
	case !inBefore:
		d.Kind = Added
	case !inAfter:
		d.Kind = Removed
	}
	return d, old != updated
}
