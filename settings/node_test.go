package settings_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/common/document"
	"lovagestand.example/lovagestand/settings"
)

const nodeFile = `
instance: "edge-1"
region: "ernakulam"
failureDomain: "ernakulam-1"
callers: "10.1.0.13:8161"
ready: "10.1.0.13:8167"
host: "10.1.0.13"
ports: [7720, 7735]
store: "10.200.1.7:8169"
advice: ""
processors: 0.4
memoryMiB: 284
heartbeat: 1500ms
grace: 6s
maxLease: 10000ms
retention: 120s
checkpointInterval: 0.5s
`

func TestParseNode(t *testing.T) {
	c := qt.New(t)
	n, err := settings.ParseNode("node.yaml", []byte(nodeFile))
	c.Assert(err, qt.IsNil)
	c.Assert(n.Ports, qt.DeepEquals, []int{7720, 7735})
	c.Assert(n.CheckpointInterval, qt.Equals, 500*time.Millisecond)
	c.Assert(n.StopTimeout, qt.Equals, time.Duration(0), qt.Commentf("settings of earlier deployments have none"))
	n, err = settings.ParseNode("node.yaml", []byte(nodeFile+"stopTimeout: 900ms\nrestoreDelay: 100ms\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(n.StopTimeout, qt.Equals, 900*time.Millisecond)
	c.Assert(n.RestoreDelay, qt.Equals, 100*time.Millisecond)
	for name, change := range map[string][2]string{
		"a missing store":    {`store: "10.200.1.7:8169"`, ``},
		"no port":            {`[7720, 7735]`, `[]`},
		"a name as address":  {`"10.1.0.13:8161"`, `"callers:80"`},
		"a unit left out":    {`6s`, `6`},
		"an unknown key":     {`grace`, `grase`},
		"no processors":      {`0.4`, `0`},
		"no memory":          {`284`, `0`},
		"a missing instance": {`"edge-1"`, `""`},
	} {
		c.Run(name, func(c *qt.C) {
			_, err := settings.ParseNode("node.yaml", []byte(strings.Replace(nodeFile, change[0], change[1], 1)))
			var faults document.Errors
			c.Assert(err, qt.ErrorAs, &faults)
		})
	}
}
