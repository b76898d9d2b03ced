package standin

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// AttemptRecord is what really happened to one attempt on one worker. Checkers
// rely on it alone, never on the product's own counters.
type AttemptRecord struct {
	Worker  string           `json:"worker"`
	AZ      string           `json:"az"`
	Boot    string           `json:"boot"`
	Attempt worker.Attempt   `json:"attempt"`
	Fence   worker.Fence     `json:"fence"`
	Team    string           `json:"team"`
	Direct  bool             `json:"direct"`
	Size    model.Resources  `json:"size"`
	Usage   model.Resources  `json:"usage"`
	Tag     string           `json:"tag,omitempty"`
	Start   time.Time        `json:"start"`
	End     time.Time        `json:"end"` // zero while it runs
	State   worker.TaskState `json:"state"`
}

// AttemptRecords returns every attempt that the worker ever admitted, in order of
// admission. It works whatever faults are set.
func (w *Worker) AttemptRecords() []AttemptRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	entries := make([]AttemptRecord, len(w.history))
	for i, h := range w.history {
		entries[i] = h.entry(w.spec)
	}
	return entries
}

// admitted is one line of a worker's history.
type admitted struct {
	*attempt
	boot string
}

func (h admitted) entry(spec model.WorkerSpec) AttemptRecord {
	return AttemptRecord{
		Worker:  spec.ID,
		AZ:      spec.AZ,
		Boot:    h.boot,
		Attempt: h.start.Attempt,
		Fence:   h.start.Fence,
		Team:    h.start.Team,
		Direct:  h.start.Direct,
		Size:    h.start.Resources,
		Usage:   h.work.Usage,
		Tag:     h.work.Tag,
		Start:   h.began,
		End:     h.ended,
		State:   h.state,
	}
}
