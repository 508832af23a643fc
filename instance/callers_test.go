package instance_test

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// curlExample is a curl line of a page and the HTTP statuses that the page allows
// for its reply.
type curlExample struct {
	method, path, data string
	statuses           string
}

var (
	exampleLines = regexp.MustCompile(`(?m)^curl (.+)\n# (.+)$`)
	curlLines    = regexp.MustCompile(`(?m)^curl `)
	curlParts    = regexp.MustCompile(`^(?:-X (\w+) )?(?:-d '([^']*)' )?'?http://127\.0\.0\.1:7400([^ ']+)'?$`)
)

// parseExamples returns the curl lines of a page. It fails the test if one of them
// cannot be parsed.
func parseExamples(c *qt.C, path string) []curlExample {
	page, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	var examples []curlExample
	for _, line := range exampleLines.FindAllStringSubmatch(string(page), -1) {
		parts := curlParts.FindStringSubmatch(line[1])
		c.Assert(parts, qt.HasLen, 4, qt.Commentf("curl line cannot be parsed: %s", line[1]))
		e := curlExample{method: parts[1], path: parts[3], data: parts[2], statuses: line[2]}
		if e.method == "" && e.data != "" {
			e.method = http.MethodPost
		}
		examples = append(examples, e)
	}
	c.Assert(examples, qt.HasLen, len(curlLines.FindAllIndex(page, -1)))
	return examples
}

// send sends an example to the n-th instance and returns the status and body.
func (c *cell) send(n int, e curlExample) (status, body string) {
	r, err := http.NewRequest(e.method, "http://"+c.instances[n].Address()+e.path, strings.NewReader(e.data))
	c.Assert(err, qt.IsNil)
	reply, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	defer func() { _ = reply.Body.Close() }()
	text, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	return strconv.Itoa(reply.StatusCode), string(text)
}

func TestCurlLinesOfTheCallersPage(t *testing.T) {
	c := newCell(t)
	c.awaitReady()
	for _, e := range parseExamples(c.C, "../docs/operators/callers.md") {
		got, body := c.send(0, e)
		c.Check(strings.Split(e.statuses, " or "), qt.Contains, got, qt.Commentf("%s %s %s: %s", e.method, e.path, e.data, body))
	}
}
