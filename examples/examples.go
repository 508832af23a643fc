// Package examples provides the sample tables of two users, for tests and trials.
package examples

import (
	"embed"

	"lovagestand.example/lovagestand/table"
)

//go:embed */*.yaml
var files embed.FS

// Tables returns the sample tables of one user, "glazedesk" or
// "sheet-orders", at revision 0.
func Tables(user string) (table.Tables, error) {
	routes, err := files.ReadFile(user + "/" + table.RoutesTable.File())
	if err != nil {
		return table.Tables{}, err
	}
	pools, err := files.ReadFile(user + "/" + table.PoolsTable.File())
	if err != nil {
		return table.Tables{}, err
	}
	return table.Parse(routes, pools)
}
