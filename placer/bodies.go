package placer

import (
	"fmt"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/ingress"
)

// bodyRetryAfter is how long a caller should wait if there is no room for a body.
const bodyRetryAfter = time.Second

// BodiesError is returned for a task whose body has no room beside those of other requests.
// The task was not queued.
type BodiesError struct {
	Pool  lovagestand.PoolName
	Class lovagestand.Class
	// Size is the size of the body, and Limit the room for all bodies, in bytes.
	Size  int
	Limit int64
}

// Error implements error.
func (e *BodiesError) Error() string {
	return fmt.Sprintf("pool %q: no room for a body of %d bytes; all bodies have %d", e.Pool, e.Size, e.Limit)
}

// Unwrap returns the error as that of a full queue.
func (e *BodiesError) Unwrap() error {
	return &lovagestand.QueueFullError{Pool: e.Pool, Class: e.Class, RetryAfter: bodyRetryAfter}
}

// bodyError returns a [BodiesError] if there is no room for the body of a task.
func (p *Placer) bodyError(task lovagestand.Task, size int) error {
	if p.deps.MaxBodyBytes <= 0 || size <= ingress.FreeBytes {
		return nil
	}
	held := int64(size)
	for _, s := range p.openShards() {
		held += s.bodyBytes.Load()
	}
	if held <= p.deps.MaxBodyBytes {
		return nil
	}
	return &BodiesError{Pool: task.Pool, Class: task.Class, Size: size, Limit: p.deps.MaxBodyBytes}
}

// setBody sets or, with nil, drops the body of a request. The caller holds mu.
func (s *shard) setBody(r *request, body []byte) {
	s.bodyBytes.Add(int64(len(body) - len(r.body)))
	r.body = body
}
