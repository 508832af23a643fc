package settings_test

import (
	"os"
	"regexp"
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
	c.Assert(n.StrictRevocation, qt.IsFalse)
	c.Assert(n.Preemption, qt.IsFalse)
	c.Assert(n.StopTimeout, qt.Equals, time.Duration(0), qt.Commentf("settings of earlier deployments have none"))
	c.Assert(n.UnevenWorkers, qt.Equals, "", qt.Commentf("settings of earlier deployments have none"))
	c.Assert(n.MaxDescriptors, qt.Equals, 0, qt.Commentf("settings of earlier deployments have none"))
	n, err = settings.ParseNode("node.yaml", []byte(nodeFile+"unevenWorkers: off\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(n.UnevenWorkers, qt.Equals, settings.UnevenOff)
	n, err = settings.ParseNode("node.yaml", []byte(nodeFile+"stopTimeout: 900ms\nrestoreDelay: 100ms\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(n.StopTimeout, qt.Equals, 900*time.Millisecond)
	c.Assert(n.RestoreDelay, qt.Equals, 100*time.Millisecond)
	for name, change := range map[string][2]string{
		"a missing store":                     {`store: "10.200.1.7:8169"`, ``},
		"no port":                             {`[7720, 7735]`, `[]`},
		"a name as address":                   {`"10.1.0.13:8161"`, `"callers:80"`},
		"a unit left out":                     {`6s`, `6`},
		"an unknown key":                      {`grace`, `grase`},
		"no processors":                       {`0.4`, `0`},
		"no memory":                           {`284`, `0`},
		"few descriptors":                     {`grace`, "maxDescriptors: 255\ngrace"},
		"a missing instance":                  {`"edge-1"`, `""`},
		"strict revocation without a timeout": {`grace`, "strictRevocation: true\ngrace"},
		"a negative revocation timeout":       {`grace`, "revocationTimeout: -1s\ngrace"},
		"an unknown value of unevenWorkers":   {`grace`, "unevenWorkers: always\ngrace"},
	} {
		c.Run(name, func(c *qt.C) {
			_, err := settings.ParseNode("node.yaml", []byte(strings.Replace(nodeFile, change[0], change[1], 1)))
			var faults document.Errors
			c.Assert(err, qt.ErrorAs, &faults)
		})
	}
}

// render fills in a template of the platform: a section is rendered if its name has a
// value other than false.
func render(template string, values map[string]string) string {
	sections := regexp.MustCompile(`\{\{#([a-z_.]+)\}\}([^{}]*(?:\{\{[^#/}]+\}\}[^{}]*)*)\{\{/([a-z_.]+)\}\}`)
	template = sections.ReplaceAllStringFunc(template, func(section string) string {
		parts := sections.FindStringSubmatch(section)
		if value := values[parts[1]]; value == "" || value == "false" {
			return ""
		}
		return parts[2]
	})
	names := regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
	return names.ReplaceAllStringFunc(template, func(name string) string { return values[strings.Trim(name, "{}")] })
}

// TestTemplate guards against settings that an instance rejects because a deployment lacks
// the bounds of strict revocation.
func TestTemplate(t *testing.T) {
	c := qt.New(t)
	template, err := os.ReadFile("../deploy/settings.yaml.tmpl")
	c.Assert(err, qt.IsNil)
	values := map[string]string{
		"node": "edge-1", "region": "ernakulam", "zone": "ernakulam-1", "listen.front": "10.1.0.13:8161", "listen.ready": "10.1.0.13:8167",
		"ip": "10.1.0.13", "port_range": "7720, 7735", "platform.addr": "10.200.1.7:8169", "limits.cpu_share": "0.4", "limits.memory_mb": "284",
		"heartbeat_ms": "1500", "bounds.grace_s": "6", "bounds.max_hold_ms": "10000", "bounds.status_s": "120", "bounds.checkpoint_interval_s": "0.5",
	}
	for _, r := range []struct {
		strict, timeout, descriptors string
		want                         settings.Node
	}{
		{want: settings.Node{}},
		{descriptors: "4100", want: settings.Node{MaxDescriptors: 4100}},
		{strict: "false", timeout: "4000", want: settings.Node{RevocationTimeout: 4 * time.Second}},
		{strict: "true", timeout: "4000", want: settings.Node{StrictRevocation: true, RevocationTimeout: 4 * time.Second}},
	} {
		values["bounds.strict_revoke"], values["bounds.revoke_ms"], values["limits.max_fds"] = r.strict, r.timeout, r.descriptors
		n, err := settings.ParseNode("node.yaml", []byte(render(string(template), values)))
		c.Assert(err, qt.IsNil)
		c.Check(n.StrictRevocation, qt.Equals, r.want.StrictRevocation)
		c.Check(n.RevocationTimeout, qt.Equals, r.want.RevocationTimeout)
		c.Check(n.MaxDescriptors, qt.Equals, r.want.MaxDescriptors)
		c.Check(n.CheckpointInterval, qt.Equals, 500*time.Millisecond)
		c.Check(n.UnevenWorkers, qt.Equals, settings.UnevenAuto)
	}
}
