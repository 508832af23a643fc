package chart

import (
	_ "embed" // The charts are files that the program carries.
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
	// Task returns the chart of a task as the owner of its shard sees it.
	Task = sync.OnceValue(func() *Chart { return mustParse(taskFile) })
	// Request returns the chart of a request as its entry sees it.
	Request = sync.OnceValue(func() *Chart { return mustParse(requestFile) })
	// Worker returns the chart of a worker as the owner of its shard sees it.
	Worker = sync.OnceValue(func() *Chart { return mustParse(workerFile) })
	// Job returns the chart of a job as its callers see it.
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
