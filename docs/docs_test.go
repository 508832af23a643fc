// Package docs_test checks the Markdown pages against the repository.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var links = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)

// pages returns the paths of all pages.
func pages(c *qt.C) []string {
	var paths []string
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".md") {
			paths = append(paths, path)
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return paths
}

func TestLinksLeadSomewhere(t *testing.T) {
	c := qt.New(t)
	for _, page := range pages(c) {
		text, err := os.ReadFile(page)
		c.Assert(err, qt.IsNil)
		for _, link := range links.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link[1]))
			c.Check(err, qt.IsNil, qt.Commentf("%s: %s", page, link[1]))
		}
	}
}

func TestArchitectureNamesEveryPackage(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("ARCHITECTURE.md")
	c.Assert(err, qt.IsNil)
	entries, err := os.ReadDir("..")
	c.Assert(err, qt.IsNil)
	for _, e := range entries {
		sources, err := filepath.Glob(filepath.Join("..", e.Name(), "*.go"))
		c.Assert(err, qt.IsNil)
		if len(sources) == 0 || e.Name() == "docs" {
			continue
		}
		named := regexp.MustCompile("`" + e.Name() + "[`/]").Match(text)
		c.Check(named, qt.IsTrue, qt.Commentf("package %s", e.Name()))
	}
}
