package placer

import (
	"sort"
	"time"

	"lovagestand.example/lovagestand"
)

// ShardStatus is the state of one shard, for operators.
type ShardStatus struct {
	Shard   lovagestand.ShardName `json:"shard"`
	Epoch   lovagestand.Epoch     `json:"epoch"`
	Ready   bool                  `json:"ready"`
	Digest  lovagestand.Digest    `json:"digest"`
	Workers []WorkerStatus        `json:"workers"`
	// Waiting, Running and Retained count requests without an answer that wait,
	// those that run, and those whose answer is kept.
	Waiting  int `json:"waiting"`
	Running  int `json:"running"`
	Retained int `json:"kept"`
}

// WorkerStatus is the state of one worker, for operators.
type WorkerStatus struct {
	Worker  lovagestand.WorkerName `json:"worker"`
	Pool    lovagestand.PoolName   `json:"pool"`
	Leaving bool                   `json:"leaving"`
	// Reachable says that the worker answers.
	Reachable bool `json:"reachable"`
	// Quarantined says that the worker failed what others run and gets no new
	// work but a probe now and then.
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
