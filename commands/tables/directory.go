package tables

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"lovagestand.example/lovagestand/table"
)

// revisionFile is the name of the file that contains the base revision of the
// tables in a directory.
const revisionFile = "revision"

// fileMode is the mode of the files that the commands write.
const fileMode = 0o644

// readTables reads and checks the tables in a directory.
func readTables(dir string) (table.Tables, error) {
	routes, err := os.ReadFile(filepath.Join(dir, table.RoutesTable.File()))
	if err != nil {
		return table.Tables{}, inputError(err)
	}
	pools, err := os.ReadFile(filepath.Join(dir, table.PoolsTable.File()))
	if err != nil {
		return table.Tables{}, inputError(err)
	}
	return table.Parse(routes, pools)
}

// readRevision returns the base revision of the tables in a directory, or 0 if the
// directory has no revision file.
func readRevision(dir string) (table.Revision, error) {
	path := filepath.Join(dir, revisionFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, inputError(err)
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, inputError(errors.Errorf("%s: %q is not a revision: run tables fetch", path, text))
	}
	return table.Revision(n), nil
}

func writeRevision(dir string, revision table.Revision) error {
	text := strconv.FormatUint(uint64(revision), 10) + "\n"
	return os.WriteFile(filepath.Join(dir, revisionFile), []byte(text), fileMode)
}

// writeTables writes both tables and their revision to a directory.
func writeTables(dir string, tables table.Tables) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeYAML(dir, table.RoutesTable, table.RoutesFile{Routes: tables.Routes()}); err != nil {
		return err
	}
	if err := writeYAML(dir, table.PoolsTable, table.PoolsFile{Pools: tables.Pools()}); err != nil {
		return err
	}
	return writeRevision(dir, tables.Revision())
}

func writeYAML(dir string, name table.Name, file any) error {
	const indent = 2
	var text bytes.Buffer
	encoder := yaml.NewEncoder(&text)
	encoder.SetIndent(indent)
	if err := encoder.Encode(file); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name.File()), text.Bytes(), fileMode)
}
