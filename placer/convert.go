package placer

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/nanos"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// TaskMessage returns t as a message.
func TaskMessage(t lovagestand.Task) *placerpb.Task {
	return &placerpb.Task{
		Id:          string(t.ID),
		Key:         string(t.Key),
		Route:       string(t.Route),
		Pool:        string(t.Pool),
		Team:        string(t.Team),
		Class:       string(t.Class),
		Resources:   resourcesMessage(t.Resources),
		Idempotent:  t.Idempotent,
		Exclusive:   t.Exclusive,
		Checkpoints: t.Checkpoints,
		GangSize:    int32(t.GangSize),
		Submitted:   nanos.FromTime(t.Submitted),
		StartBy:     nanos.FromTime(t.StartBy),
		RunTime:     int64(t.RunTime),
	}
}

// TaskOf returns the task that a message describes.
func TaskOf(m *placerpb.Task) lovagestand.Task {
	return lovagestand.Task{
		ID:          lovagestand.TaskID(m.GetId()),
		Key:         lovagestand.RequestKey(m.GetKey()),
		Route:       lovagestand.RouteName(m.GetRoute()),
		Pool:        lovagestand.PoolName(m.GetPool()),
		Team:        lovagestand.TeamName(m.GetTeam()),
		Class:       lovagestand.Class(m.GetClass()),
		Resources:   resourcesOf(m.GetResources()),
		Idempotent:  m.GetIdempotent(),
		Exclusive:   m.GetExclusive(),
		Checkpoints: m.GetCheckpoints(),
		GangSize:    int(m.GetGangSize()),
		Submitted:   nanos.ToTime(m.GetSubmitted()),
		StartBy:     nanos.ToTime(m.GetStartBy()),
		RunTime:     time.Duration(m.GetRunTime()),
	}
}

// AnswerMessage returns a as a message.
func AnswerMessage(a lovagestand.Answer) *placerpb.Answer {
	return &placerpb.Answer{
		Key:        string(a.Key),
		Outcome:    string(a.Outcome),
		Reason:     a.Reason,
		RetryAfter: int64(a.RetryAfter),
		Worker:     string(a.Worker),
		Task:       string(a.Task),
		Waited:     int64(a.Waited),
		Body:       a.Body,
	}
}

// AnswerOf returns the answer that a message describes.
func AnswerOf(m *placerpb.Answer) lovagestand.Answer {
	return lovagestand.Answer{
		Key:        lovagestand.RequestKey(m.GetKey()),
		Outcome:    lovagestand.Outcome(m.GetOutcome()),
		Reason:     m.GetReason(),
		RetryAfter: time.Duration(m.GetRetryAfter()),
		Worker:     lovagestand.WorkerName(m.GetWorker()),
		Task:       lovagestand.TaskID(m.GetTask()),
		Waited:     time.Duration(m.GetWaited()),
		Body:       m.GetBody(),
	}
}

func resourcesMessage(r lovagestand.Resources) *placerpb.Resources {
	return &placerpb.Resources{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
	}
}

func resourcesOf(m *placerpb.Resources) lovagestand.Resources {
	return lovagestand.Resources{
		MilliCPU:     m.GetMilliCpu(),
		MemoryMiB:    m.GetMemoryMib(),
		Accelerators: m.GetAccelerators(),
	}
}
