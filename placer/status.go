package placer

import (
	"sort"
	"time"

	"lovagestand.example/lovagestand"
)

// ShardStatus is the state of one shard as shown to operators.
type ShardStatus struct {
	Shard   lovagestand.ShardName `json:"shard"`
	Epoch   lovagestand.Epoch     `json:"epoch"`
	Ready   bool                  `json:"ready"`
	Digest  lovagestand.Digest    `json:"digest"`
	Workers []WorkerStatus        `json:"workers"`
	// Waiting counts the requests that have not started, Running those that
	// have started and have no final answer yet, and Retained those whose final
	// answer is retained.
	Waiting  int `json:"waiting"`
	Running  int `json:"running"`
	Retained int `json:"kept"`
}

// WorkerStatus is the state of one worker as shown to operators.
type WorkerStatus struct {
	Worker  lovagestand.WorkerName `json:"worker"`
	Pool    lovagestand.PoolName   `json:"pool"`
	Leaving bool                   `json:"leaving"`
	// Reachable is set if the worker replies to calls.
	Reachable bool `json:"reachable"`
	// Quarantined is set if tasks fail on the worker that succeed elsewhere. A
	// quarantined worker gets only an occasional probe task.
	Quarantined bool `json:"quarantined,omitempty"`
	// Tasks counts the tasks placed on the worker.
	Tasks int `json:"tasks"`
}

func (s *shard) status() ShardStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := ShardStatus{Shard: s.name, Epoch: s.epoch, Ready: s.isReady}
	if s.isReady {
		st.Digest = s.decider.Digest(time.Now())
	}
	for _, r := range s.requests {
		switch {
		case r.final():
			st.Retained++
		case r.started():
			st.Running++
		default:
			st.Waiting++
		}
	}
	for _, l := range s.links {
		w := l.status()
		w.Tasks = len(s.partsOn(l.worker.Name))
		w.Quarantined = s.quarantined(l.worker.Name)
		st.Workers = append(st.Workers, w)
	}
	sort.Slice(st.Workers, func(i, j int) bool { return st.Workers[i].Worker < st.Workers[j].Worker })
	return st
}

func (s *shard) quarantined(name lovagestand.WorkerName) bool {
	d, ok := s.decider.(lovagestand.QuarantineDecider)
	return ok && d.Quarantined(name)
}
