// Package examples provides the sample tables of two firms, for tests and trials.
package examples

import (
	"embed"

	"lovagestand.example/lovagestand/table"
)

//go:embed */*.yaml
var files embed.FS

// Tables returns the sample tables of the firm with a runner, "glazedesk" or
// "sheet-orders", at revision 0.
func Tables(firm string) (table.Tables, error) {
	routes, err := files.ReadFile(firm + "/" + table.RoutesTable.File())
	if err != nil {
		return table.Tables{}, err
	}
	pools, err := files.ReadFile(firm + "/" + table.PoolsTable.File())
	if err != nil {
		return table.Tables{}, err
	}
	return table.Parse(routes, pools)
}
