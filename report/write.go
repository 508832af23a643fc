package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// FormatError is returned for a report file whose extension is not supported.
type FormatError struct {
	Path string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("report %q: the name must end in .html or .json", e.Path)
}

// CheckPath returns a [FormatError] unless [Report.WriteFile] supports the
// extension of path.
func CheckPath(path string) error {
	switch filepath.Ext(path) {
	case ".html", ".json":
		return nil
	}
	return &FormatError{Path: path}
}

// WriteFile writes r to a file in the format given by its extension.
func (r Report) WriteFile(path string) error {
	if err := CheckPath(path); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	defer f.Close()
	write := r.WriteHTML
	if strings.HasSuffix(path, ".json") {
		write = r.WriteJSON
	}
	if err := write(f); err != nil {
		return err
	}
	return errors.Wrap(f.Close(), "report")
}

// WriteJSON writes r as a JSON document.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "report")
}
