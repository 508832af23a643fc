package table

import (
	"encoding/json"
	"slices"

	"lovagestand.example/lovagestand"
)

// Row identifies one row. The teams of a pool are separate rows, so that two
// operators can change two teams of the same pool concurrently.
type Row struct {
	Table Name   `json:"table"`
	Name  string `json:"name"`
	// Team is set for a team's row within a pool.
	Team lovagestand.TeamName `json:"team,omitempty"`
}

// String returns the row as a path such as "pools/runners/showroom".
func (r Row) String() string {
	text := string(r.Table) + "/" + r.Name
	if r.Team != "" {
		text += "/" + string(r.Team)
	}
	return text
}

func compareRows(a, b Row) int {
	if n := compare(a.Table, b.Table); n != 0 {
		return n
	}
	if n := compare(a.Name, b.Name); n != 0 {
		return n
	}
	return compare(a.Team, b.Team)
}

// content is the value of a row as JSON. Equal values have equal content.
type content string

// splitRows returns the content of every row of the tables.
func splitRows(t Tables) map[Row]content {
	all := make(map[Row]content, len(t.routes)+len(t.pools))
	for _, r := range t.routes {
		all[Row{Table: RoutesTable, Name: string(r.Name)}] = contentOf(r)
	}
	for _, p := range t.pools {
		for _, team := range p.Teams {
			all[Row{PoolsTable, string(p.Name), team.Name}] = contentOf(team)
		}
		p.Teams = nil
		all[Row{Table: PoolsTable, Name: string(p.Name)}] = contentOf(p)
	}
	return all
}

func contentOf(row any) content {
	text, err := json.Marshal(row)
	if err != nil {
		panic(err) // rows contain only values that JSON can represent
	}
	return content(text)
}

// joinRows builds tables from rows and checks them. It is the inverse of
// [splitRows].
func joinRows(revision Revision, all map[Row]content) (Tables, error) {
	var routes []Route
	var pools []Pool
	teams := map[string][]Team{}
	for _, row := range sortedRows(all) {
		switch {
		case row.Table == RoutesTable:
			routes = append(routes, decodeRow[Route](all[row]))
		case row.Team != "":
			teams[row.Name] = append(teams[row.Name], decodeRow[Team](all[row]))
		default:
			pools = append(pools, decodeRow[Pool](all[row]))
		}
	}
	for i, p := range pools {
		pools[i].Teams = teams[string(p.Name)]
		delete(teams, string(p.Name))
	}
	if err := checkOrphanTeams(teams); err != nil {
		return Tables{}, err
	}
	return New(revision, routes, pools)
}

func decodeRow[T any](text content) T {
	var row T
	if err := json.Unmarshal([]byte(text), &row); err != nil {
		panic(err) // the text comes from contentOf
	}
	return row
}

func sortedRows[V any](all map[Row]V) []Row {
	names := make([]Row, 0, len(all))
	for row := range all {
		names = append(names, row)
	}
	slices.SortFunc(names, compareRows)
	return names
}
