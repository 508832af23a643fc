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

// FormatError says that a report's file name has no known ending.
type FormatError struct {
	Path string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("report %q: the name must end in .html or .json", e.Path)
}

// CheckPath fails with a [FormatError] unless [Report.WriteFile] can write a
// file of that name.
func CheckPath(path string) error {
	switch filepath.Ext(path) {
	case ".html", ".json":
		return nil
	}
	return &FormatError{Path: path}
}

// WriteFile writes r to a file, in the form that its name's ending tells.
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
