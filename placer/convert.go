package placer

import (
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/nanos"
	"lovagestand.example/lovagestand/placer/placerpb"
)

// TaskMessage converts a task to its message.
func TaskMessage(task lovagestand.Task) *placerpb.Task {
	return &placerpb.Task{
		Id:          string(task.ID),
		Key:         string(task.Key),
		Route:       string(task.Route),
		Pool:        string(task.Pool),
		Team:        string(task.Team),
		Class:       string(task.Class),
		Resources:   resourcesMessage(task.Resources),
		Idempotent:  task.Idempotent,
		Exclusive:   task.Exclusive,
		Checkpoints: task.Checkpoints,
		GangSize:    int32(task.GangSize),
		Submitted:   nanos.FromTime(task.Submitted),
		StartBy:     nanos.FromTime(task.StartBy),
		RunTime:     int64(task.RunTime),
	}
}

// TaskOf converts a message to the task that it describes.
func TaskOf(message *placerpb.Task) lovagestand.Task {
	return lovagestand.Task{
		ID:          lovagestand.TaskID(message.GetId()),
		Key:         lovagestand.RequestKey(message.GetKey()),
		Route:       lovagestand.RouteName(message.GetRoute()),
		Pool:        lovagestand.PoolName(message.GetPool()),
		Team:        lovagestand.TeamName(message.GetTeam()),
		Class:       lovagestand.Class(message.GetClass()),
		Resources:   resourcesOf(message.GetResources()),
		Idempotent:  message.GetIdempotent(),
		Exclusive:   message.GetExclusive(),
		Checkpoints: message.GetCheckpoints(),
		GangSize:    int(message.GetGangSize()),
		Submitted:   nanos.ToTime(message.GetSubmitted()),
		StartBy:     nanos.ToTime(message.GetStartBy()),
		RunTime:     time.Duration(message.GetRunTime()),
	}
}

// AnswerMessage converts an answer to its message.
func AnswerMessage(answer lovagestand.Answer) *placerpb.Answer {
	return &placerpb.Answer{
		Key:        string(answer.Key),
		Outcome:    string(answer.Outcome),
		Reason:     answer.Reason,
		RetryAfter: int64(answer.RetryAfter),
		Worker:     string(answer.Worker),
		Task:       string(answer.Task),
		Waited:     int64(answer.Waited),
		Body:       answer.Body,
	}
}

// AnswerOf converts a message to the answer that it describes.
func AnswerOf(message *placerpb.Answer) lovagestand.Answer {
	return lovagestand.Answer{
		Key:        lovagestand.RequestKey(message.GetKey()),
		Outcome:    lovagestand.Outcome(message.GetOutcome()),
		Reason:     message.GetReason(),
		RetryAfter: time.Duration(message.GetRetryAfter()),
		Worker:     lovagestand.WorkerName(message.GetWorker()),
		Task:       lovagestand.TaskID(message.GetTask()),
		Waited:     time.Duration(message.GetWaited()),
		Body:       message.GetBody(),
	}
}

func resourcesMessage(resources lovagestand.Resources) *placerpb.Resources {
	return &placerpb.Resources{
		MilliCpu:     resources.MilliCPU,
		MemoryMib:    resources.MemoryMiB,
		Accelerators: resources.Accelerators,
	}
}

func resourcesOf(message *placerpb.Resources) lovagestand.Resources {
	return lovagestand.Resources{
		MilliCPU:     message.GetMilliCpu(),
		MemoryMiB:    message.GetMemoryMib(),
		Accelerators: message.GetAccelerators(),
	}
}
