package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/site"
)

// oddEntries are entries that another writer may leave among those of the workers. Each is a
// valid entry but for one thing.
func oddEntries() map[string]string {
	entry := func(fields string) string {
		return `{"service":"glazedesk","state":"ready","addr":"127.0.0.1:9","zone":"z","labels":["a","r1-0"],"born":1,"seq":1,"capacity":{"cpu":4000,"mem_mb":4096,"gpu":0}` + fields + `}`
	}
	return map[string]string{
		"nested arrays":         entry(`,"labels":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)),
		"nested objects":        entry(`,"more":` + strings.Repeat(`{"a":`, 100_000) + "1" + strings.Repeat("}", 100_000)),
		"unclosed":              strings.Repeat("[", 500_000),
		"number with exponent":  entry(`,"capacity":{"cpu":1e400,"mem_mb":1}`),
		"number of 70 bits":     entry(`,"capacity":{"cpu":1180591620717411303424,"mem_mb":1}`),
		"greatest integer":      entry(`,"capacity":{"cpu":9223372036854775807,"mem_mb":9223372036854775807,"gpu":9223372036854775807}`),
		"greatest integer, too": entry(`,"capacity":{"cpu":9223372036854775807,"mem_mb":9223372036854775807,"gpu":9223372036854775807}`),
		"least integer":         entry(`,"capacity":{"cpu":-9223372036854775808,"mem_mb":1}`),
		"greatest birth":        entry(`,"born":9223372036854775807`),
		"greatest sequence":     entry(`,"seq":9223372036854775807`),
		"port out of range":     entry(`,"addr":"127.0.0.1:99999"`),
		"negative port":         entry(`,"addr":"127.0.0.1:-1"`),
		"huge port":             entry(`,"addr":"127.0.0.1:` + strings.Repeat("9", 5_000) + `"`),
		"port zero":             entry(`,"addr":"127.0.0.1:0"`),
		"no port":               entry(`,"addr":"127.0.0.1"`),
		"no host":               entry(`,"addr":":::"`),
		"a line break":          entry(`,"addr":"127.0.0.1:9\r\nX: y"`),
		"a scheme":              entry(`,"addr":"http://[::1%25:80"`),
		"null":                  "null",
		"a list":                `[1,2]`,
	}
}

// TestOddEntriesOfAnotherWriter guards against instances that end, or stop following the list
// of workers, because of one entry that another writer has left there.
func TestOddEntriesOfAnotherWriter(t *testing.T) {
	c := qt.New(t)
	for name := range oddEntries() {
		c.Run(name, func(c *qt.C) {
			c.Parallel()
			s, err := site.Open("127.0.0.1:0", 4)
			c.Assert(err, qt.IsNil)
			c.Cleanup(s.Close)
			c.Assert(s.Configure(3, "a.example", "/x/"), qt.IsNil)
			s.Keys.Put(platform.WorkerPrefix()+"i-odd", []byte(oddEntries()[name]))
			s.Keys.Put(platform.WorkerPrefix()+"a-odd", []byte(oddEntries()[name]))
			i := start(c, s, "node-0")
			body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":8,"cpu":1000,"mem_mb":1,"estimate_ms":50}]}`, site.Spec{MilliCPU: 1000, Work: 50 * time.Millisecond}.String())
			for n := range 2 {
				path := fmt.Sprintf("/x/%016x", n)
				eventually(c.TB.(*testing.T), "a job was not accepted", func() bool {
					status, _ := i.call(c, http.MethodPost, path, body)
					return status == http.StatusOK
				})
				eventually(c.TB.(*testing.T), "a job was not completed", func() bool {
					_, text := i.call(c, http.MethodGet, path, "")
					return text == `{"state":"completed"}`
				})
				// A worker that joins later must be seen.
				s.Crash(n)
				s.Restart(n)
				c.Assert(s.Register(n), qt.IsNil)
			}
			i.cancel()
			c.Assert(<-i.done, qt.IsNil)
		})
	}
}
