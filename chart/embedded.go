package chart

import (
	_ "embed" // The charts are embedded in the program.
	"sync"
)

var (
	//go:embed task.yaml
	taskFile []byte
	//go:embed request.yaml
	requestFile []byte
	//go:embed worker.yaml
	workerFile []byte
	//go:embed job.yaml
	jobFile []byte
	//go:embed jobtask.yaml
	jobTaskFile []byte
)

var (
	// Task returns the chart of a task in the owner of its shard.
	Task = sync.OnceValue(func() *Chart { return mustParse(taskFile) })
	// Request returns the chart of a request in its entry.
	Request = sync.OnceValue(func() *Chart { return mustParse(requestFile) })
	// Worker returns the chart of a worker in the owner of its shard.
	Worker = sync.OnceValue(func() *Chart { return mustParse(workerFile) })
	// Job returns the chart of a job with the states that callers see.
	Job = sync.OnceValue(func() *Chart { return mustParse(jobFile) })
	// JobTask returns the chart of one task of a job.
	JobTask = sync.OnceValue(func() *Chart { return mustParse(jobTaskFile) })
)

func mustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}
