package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

// Node are the settings of an instance on the users' machines.
type Node struct {
	Instance      lovagestand.InstanceID    `yaml:"instance"`
	Region        lovagestand.RegionName    `yaml:"region"`
	FailureDomain lovagestand.FailureDomain `yaml:"failureDomain"`
	// Callers and Ready are the addresses to listen on for callers and for the
	// balancer's question whether this instance takes new ones.
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	// Host and Ports are where instances reach each other.
	Host  string `yaml:"host"`
	Ports []int  `yaml:"ports"`
	// Store and Advice are the platform's services; Advice may be empty.
	Store  string `yaml:"store"`
	Advice string `yaml:"advice"`
	// Processors is how many cores the process may use.
	Processors float64 `yaml:"processors"`
	// MemoryMiB is how much memory the process may use.
	MemoryMiB int64 `yaml:"memoryMiB"`
	// Heartbeat is how often workers write their entries.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration `yaml:"grace"`
	// MaxLease bounds the lease of a worker.
	MaxLease time.Duration `yaml:"maxLease"`
	// Retention is how long the state of a finished job is told.
	Retention time.Duration `yaml:"retention"`
	// CheckpointInterval is how often tasks that save their progress do so.
	CheckpointInterval time.Duration `yaml:"checkpointInterval"`
}

// ReadNode reads a file. It fails with [document.Errors] that name file, line
// and key of every fault.
func ReadNode(path string) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, errors.Wrap(err, "read settings")
	}
	return ParseNode(path, data)
}

// ParseNode decodes and checks settings; file names them in errors.
func ParseNode(file string, data []byte) (Node, error) {
	var n Node
	d, err := document.Decode(file, data, &n)
	if err != nil {
		return Node{}, err
	}
	var errs document.Errors
	add := func(key, problem, hint string) {
		errs = append(errs, d.ErrorAt(key, problem, hint))
	}
	n.check(add)
	if err := errs.ErrorOrNil(); err != nil {
		return Node{}, err
	}
	return n, nil
}

func (n Node) check(add func(key, problem, hint string)) {
	for key, value := range map[string]string{
		"instance": string(n.Instance), "region": string(n.Region), "failureDomain": string(n.FailureDomain), "host": n.Host,
	} {
		if value == "" {
			add(key, "is missing", "")
		}
	}
	checkAddress(add, "callers", n.Callers)
	checkAddress(add, "ready", n.Ready)
	checkAddress(add, "store", n.Store)
	if n.Advice != "" {
		checkAddress(add, "advice", n.Advice)
	}
	if len(n.Ports) == 0 || n.Ports[0] <= 0 || n.Ports[0] > 65535 {
		add("ports", "has no port", "give the first port on which instances reach each other")
	}
	if n.Processors <= 0 {
		add("processors", "must be more than 0", "")
	}
	if n.MemoryMiB <= 0 {
		add("memoryMiB", "must be more than 0", "")
	}
	for key, value := range map[string]time.Duration{
		"heartbeat": n.Heartbeat, "grace": n.Grace, "maxLease": n.MaxLease, "retention": n.Retention,
	} {
		if value <= 0 {
			add(key, "must be more than 0", `write it with a unit, such as "6s"`)
		}
	}
}
