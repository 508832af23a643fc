package document

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// MaxBytes is the maximum size of a document in bytes.
const MaxBytes = 4 << 20

// Document holds the line numbers of the keys in a decoded file.
type Document struct {
	file  string
	lines map[string]int
}

// Decode decodes one YAML document into the struct that target points to. If it
// fails, it returns all errors as [Errors], and the content of target is
// undefined.
func Decode(file string, data []byte, target any) (*Document, error) {
	d := &Document{file: file, lines: map[string]int{}}
	root, parseErr := parse(file, data)
	if parseErr != nil {
		return d, Errors{parseErr}
	}
	dec := &decoder{document: d}
	dec.decodeRoot(root, "", target)
	return d, dec.errs.ErrorOrNil()
}

// Line returns the line of a key such as "routes[2].pool". If the document has
// no such key, it returns the line of the nearest enclosing key, or 0 if there
// is none.
func (d *Document) Line(key string) int {
	for {
		if line, ok := d.lines[key]; ok {
			return line
		}
		if key == "" {
			return 0
		}
		key = parent(key)
	}
}

// ErrorAt returns an [Error] for a key of the document.
func (d *Document) ErrorAt(key, problem, hint string) *Error {
	return &Error{File: d.file, Line: d.Line(key), Key: key, Problem: problem, Hint: hint}
}

func parent(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}

// parse returns the root node, or nil for an empty document.
func parse(file string, data []byte) (*yaml.Node, *Error) {
	if len(data) > MaxBytes {
		return nil, &Error{File: file, Problem: fmt.Sprintf("larger than %d bytes", MaxBytes)}
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var root, next yaml.Node
	if err := dec.Decode(&root); errors.Is(err, io.EOF) {
		return nil, nil
	} else if err != nil {
		return nil, syntaxError(file, err)
	}
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		return nil, &Error{File: file, Line: next.Line, Problem: "holds more than one document"}
	}
	if len(root.Content) != 1 {
		return nil, nil
	}
	return root.Content[0], nil
}

var syntaxErrorPattern = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

func syntaxError(file string, err error) *Error {
	e := &Error{File: file, Problem: err.Error(), Hint: "check indents, quotes and colons here and one line above"}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
		e.Problem = m[2]
	}
	return e
}
