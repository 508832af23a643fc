package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

// Values of Node.UnevenWorkers.
const (
	UnevenOff  = "off"
	UnevenAuto = "auto"
)

// minDescriptors is the lowest limit of descriptors.
const minDescriptors = 256

// Node holds the settings of an instance that the command "node" runs on the users'
// platform.
type Node struct {
	Instance      lovagestand.InstanceID    `yaml:"instance"`
	Region        lovagestand.RegionName    `yaml:"region"`
	FailureDomain lovagestand.FailureDomain `yaml:"failureDomain"`
	// CallerAddress is the address to listen on for callers. ReadyAddress is the
	// address to listen on for the load balancer's readiness checks.
	CallerAddress string `yaml:"callers"`
	ReadyAddress  string `yaml:"ready"`
	// Host and the first of Ports are the address at which the other instances
	// reach this one.
	Host  string `yaml:"host"`
	Ports []int  `yaml:"ports"`
	// StoreAddress and AdviceAddress are the addresses of the platform's key-value
	// store and policy service. AdviceAddress may be empty.
	StoreAddress  string `yaml:"store"`
	AdviceAddress string `yaml:"advice"`
	// Processors is the number of cores that the process may use.
	Processors float64 `yaml:"processors"`
	// MemoryMiB is the amount of memory that the process may use, in MiB.
	MemoryMiB int64 `yaml:"memoryMiB"`
	// MaxDescriptors is the number of file descriptors that the process may use; 0 for
	// the limit that the operating system sets.
	MaxDescriptors int `yaml:"maxDescriptors"`
	// Heartbeat is the time between two writes of a worker's entry in the store.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// Grace is the time between the stop signal and the kill of the process.
	Grace time.Duration `yaml:"grace"`
	// MaxLease is the maximum lease of a worker.
	MaxLease time.Duration `yaml:"maxLease"`
	// Retention is how long the state of a finished job remains available.
	Retention time.Duration `yaml:"retention"`
	// CheckpointInterval is the time between two checkpoints of a task that makes
	// checkpoints.
	CheckpointInterval time.Duration `yaml:"checkpointInterval"`
	// StrictRevocation makes the instance reject calls with a key once the store has
	// not confirmed the operator's configuration for RevocationTimeout, because the key
	// may have been withdrawn. Otherwise the last configuration stays in force.
	StrictRevocation  bool          `yaml:"strictRevocation"`
	RevocationTimeout time.Duration `yaml:"revocationTimeout"`
	// Preemption allows the owner of a shard to stop tasks of less urgent jobs for more
	// urgent ones where the configuration has teams. A stopped task needs new advice
	// before it resumes, so it pays only where advice calls are short or not needed.
	Preemption bool `yaml:"preemption"`
	// UnevenWorkers is whether the owner of a shard may place tasks by the learned speeds of
	// the workers: [UnevenAuto] where the fleet shows that its machines differ much, and
	// [UnevenOff] or empty never.
	UnevenWorkers string `yaml:"unevenWorkers"`
	// StopTimeout is the maximum duration of a stop of a task; 0 if it is not known.
	StopTimeout time.Duration `yaml:"stopTimeout"`
	// RestoreDelay is how long a task that resumes from a checkpoint waits before it
	// continues.
	RestoreDelay time.Duration `yaml:"restoreDelay"`
}

// ReadNode reads and checks a file of settings. If settings are invalid, it fails
// with [document.Errors], which give the file, line and key of each error.
func ReadNode(path string) (Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Node{}, errors.Wrap(err, "read settings")
	}
	return ParseNode(path, data)
}

// ParseNode decodes and checks settings. The parameter file is the name of the file
// that errors give.
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
	checkAddress(add, "callers", n.CallerAddress)
	checkAddress(add, "ready", n.ReadyAddress)
	checkAddress(add, "store", n.StoreAddress)
	if n.AdviceAddress != "" {
		checkAddress(add, "advice", n.AdviceAddress)
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
	checkMaxDescriptors(add, n.MaxDescriptors)
	for key, value := range map[string]time.Duration{
		"heartbeat": n.Heartbeat, "grace": n.Grace, "maxLease": n.MaxLease, "retention": n.Retention,
	} {
		if value <= 0 {
			add(key, "must be more than 0", `write it with a unit, such as "6s"`)
		}
	}
	if n.UnevenWorkers != "" && n.UnevenWorkers != UnevenOff && n.UnevenWorkers != UnevenAuto {
		add("unevenWorkers", "is not a known value", `give "auto" or "off"`)
	}
	if n.RevocationTimeout < 0 || n.StrictRevocation && n.RevocationTimeout == 0 {
		add("revocationTimeout", "must be more than 0", `strictRevocation needs it; write it with a unit, such as "6s"`)
	}
}
