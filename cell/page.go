package cell

import (
	_ "embed"
	"html/template"
	"io"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"millis": FormatMillis}).Parse(pageText))

// WritePage writes the state as an HTML page that refreshes itself.
func (s State) WritePage(w io.Writer) error {
	return pageTemplate.Execute(w, s)
}
