package standin

import (
	"time"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// AttemptRecord is what happened to one attempt on one worker. Checkers rely on these
// records alone, never on the scheduler's own counters.
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
	End     time.Time        `json:"end"` // zero while the attempt runs
	State   worker.TaskState `json:"state"`
}

// AttemptRecords returns all attempts that the worker ever admitted, in order of
// admission. No fault affects it.
func (w *Worker) AttemptRecords() []AttemptRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueAttempts(time.Now())
	records := make([]AttemptRecord, len(w.history))
	for i, entry := range w.history {
		records[i] = entry.record(w.spec)
	}
	return records
}

// historyEntry is an attempt and the boot that admitted it.
type historyEntry struct {
	*attempt
	boot string
}

func (h historyEntry) record(spec model.WorkerSpec) AttemptRecord {
	return AttemptRecord{
		Worker:  spec.ID,
		AZ:      spec.AZ,
		Boot:    h.boot,
		Attempt: h.start.Attempt,
		Fence:   h.start.Fence,
		Team:    h.start.Team,
		Direct:  h.start.Direct,
		Size:    h.start.Resources,
		Usage:   h.behaviour.Usage,
		Tag:     h.behaviour.Tag,
		Start:   h.startedAt,
		End:     h.endedAt,
		State:   h.state,
	}
}
