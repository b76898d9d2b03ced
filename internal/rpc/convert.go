package rpc

import (
	"time"

	"cuminloft/internal/model"
)

// FromResources converts resources to a message.
func FromResources(r model.Resources) *Resources {
	return &Resources{
		MilliCores:   r.MilliCores,
		MemoryMb:     r.MemoryMB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
	}
}

// Model converts the message to resources; nil gives zero resources.
func (r *Resources) Model() model.Resources {
	return model.Resources{
		MilliCores:   r.GetMilliCores(),
		MemoryMB:     r.GetMemoryMb(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
	}
}

// FromJob converts a job to a message.
func FromJob(j model.Job) *Job {
	return &Job{
		Id:     string(j.ID),
		Team:   j.Team,
		Queue:  j.Queue,
		Kind:   j.Kind,
		Policy: string(j.Policy),
		Tasks:  int32(j.Tasks),
		Task: &TaskSpec{
			Resources:   FromResources(j.Task.Resources),
			Connections: int32(j.Task.Connections),
			RunTimeNs:   int64(j.Task.RunTime),
			Idempotent:  j.Task.Idempotent,
			Payload:     j.Task.Payload,
		},
		Urgent:      j.Urgent,
		SubmittedNs: j.Submitted.UnixNano(),
		MaxWaitNs:   int64(j.MaxWait),
	}
}

// Model converts the message to a job.
func (j *Job) Model() model.Job {
	t := j.GetTask()
	return model.Job{
		ID:     model.JobID(j.GetId()),
		Team:   j.GetTeam(),
		Queue:  j.GetQueue(),
		Kind:   j.GetKind(),
		Policy: model.Policy(j.GetPolicy()),
		Tasks:  int(j.GetTasks()),
		Task: model.TaskSpec{
			Resources:   t.GetResources().Model(),
			Connections: int(t.GetConnections()),
			RunTime:     time.Duration(t.GetRunTimeNs()),
			Idempotent:  t.GetIdempotent(),
			Payload:     t.GetPayload(),
		},
		Urgent:    j.GetUrgent(),
		Submitted: time.Unix(0, j.GetSubmittedNs()),
		MaxWait:   time.Duration(j.GetMaxWaitNs()),
	}
}
