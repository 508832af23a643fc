package table

import (
	"lovagestand.example/lovagestand/common/document"
)

// Name is the name of one of the two tables.
type Name string

// The two tables.
const (
	RoutesTable Name = "routes"
	PoolsTable  Name = "pools"
)

// File returns the name of the file that holds the table.
func (n Name) File() string {
	return string(n) + ".yaml"
}

// RoutesFile is the structure of routes.yaml.
type RoutesFile struct {
	Routes []Route `yaml:"routes"`
}

// PoolsFile is the structure of pools.yaml.
type PoolsFile struct {
	Pools []Pool `yaml:"pools"`
}

// Parse decodes and checks the contents of routes.yaml and pools.yaml together. It
// returns tables of revision 0, or fails with [document.Errors] if either file has
// an error.
func Parse(routes, pools []byte) (Tables, error) {
	var r RoutesFile
	var p PoolsFile
	var errs document.Errors
	routesDocument, err := document.Decode(RoutesTable.File(), routes, &r)
	errs = appendErrors(errs, err)
	poolsDocument, err := document.Decode(PoolsTable.File(), pools, &p)
	errs = appendErrors(errs, err)
	if len(errs) > 0 {
		return Tables{}, errs
	}
	errs = check(r.Routes, p.Pools, &sources{routes: routesDocument, pools: poolsDocument})
	if len(errs) > 0 {
		return Tables{}, errs
	}
	return build(0, r.Routes, p.Pools), nil
}

func appendErrors(errs document.Errors, err error) document.Errors {
	if more, ok := err.(document.Errors); ok {
		return append(errs, more...)
	}
	return errs
}

// sources holds the documents that the rows were read from, for line numbers in
// errors. A document is nil if its rows do not come from a file.
type sources struct {
	routes, pools *document.Document
}

func (s *sources) errorAt(table Name, key, problem, hint string) *document.Error {
	source := s.routes
	if table == PoolsTable {
		source = s.pools
	}
	if source == nil {
		return &document.Error{File: table.File(), Key: key, Problem: problem, Hint: hint}
	}
	return source.ErrorAt(key, problem, hint)
}
