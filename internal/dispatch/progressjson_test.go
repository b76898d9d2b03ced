package dispatch

import (
	"bytes"
	"encoding/json"
	"testing"

	"pgregory.net/rapid"

	"cuminloft/internal/workload"
)

// reflectedTask has the JSON form of a task by encoding/json.
func reflectedTask(t *TaskProgress) any {
	silent := [][3]int64{}
	for _, l := range t.Silent {
		started := map[bool]int64{true: 1}[l.Started]
		silent = append(silent, [3]int64{int64(l.Worker), started, l.Since})
	}
	switch {
	case t.Done:
		return 1
	case t.isNew():
		return 0
	case len(t.Silent) > 0:
		return []any{t.Run, t.Worker, t.Failures, t.Checkpoint, t.Crashes, t.Proven, silent}
	case t.Crashes > 0:
		return []any{t.Run, t.Worker, t.Failures, t.Checkpoint, t.Crashes, t.Proven}
	default:
		return []any{t.Run, t.Worker, t.Failures, t.Checkpoint}
	}
}

// reflectedStep has the JSON form of a step by encoding/json.
type reflectedStep struct {
	StepProgress
	Tasks []any `json:"tasks,omitempty"`
}

// reflected returns the JSON form of progress by encoding/json.
func reflected(t *rapid.T, p *Progress) []byte {
	type occurrence struct {
		OccurrenceProgress
		Steps []reflectedStep `json:"steps"`
	}
	out := struct {
		Progress
		Occurrences []occurrence `json:"occ,omitempty"`
		EndedAt     int64        `json:"ended_at,omitempty"`
	}{Progress: *p, EndedAt: p.EndedAt}
	for _, o := range p.Occurrences {
		shown := occurrence{OccurrenceProgress: o, Steps: []reflectedStep{}}
		for _, s := range o.Steps {
			step := reflectedStep{StepProgress: s}
			for i := range s.Tasks {
				step.Tasks = append(step.Tasks, reflectedTask(&s.Tasks[i]))
			}
			shown.Steps = append(shown.Steps, step)
		}
		out.Occurrences = append(out.Occurrences, shown)
	}
	data, err := json.Marshal(out)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// drawProgress draws progress with texts and numbers of all kinds.
func drawProgress(t *rapid.T) *Progress {
	text := rapid.OneOf(rapid.StringMatching(`[a-z0-9:-]{0,20}`), rapid.String(), rapid.SampledFrom([]string{"\xff", `<&>"\`, "\u2028\x7f\x00\n"}))
	number := rapid.IntRange(0, 1<<40)
	few := rapid.IntRange(0, 2)
	state := rapid.SampledFrom([]workload.State{workload.Queued, workload.Running, workload.Failed})
	numbers := func() int64 { return int64(rapid.OneOf(few, number).Draw(t, "number")) }
	p := &Progress{State: state.Draw(t, "state"), Begun: rapid.Bool().Draw(t, "begun"), NextOccurrence: int(numbers()), EndedAt: numbers()}
	for range few.Draw(t, "workers") {
		p.Workers = append(p.Workers, WorkerIncarnation{text.Draw(t, "id"), numbers(), text.Draw(t, "address")})
	}
	for range few.Draw(t, "leaving") {
		p.Leaving = append(p.Leaving, int(numbers()))
	}
	for range few.Draw(t, "occurrences") {
		o := OccurrenceProgress{Index: int(numbers()), Steps: []StepProgress{}}
		for range few.Draw(t, "steps") {
			s := StepProgress{GangFailures: int(numbers()), LastFailedGangRun: int(numbers()), GangCheckpoint: text.Draw(t, "saved"),
				AllDone: rapid.Bool().Draw(t, "done"), Outlived: rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "outlived")}
			for range few.Draw(t, "failed on") {
				s.FailedOn = append(s.FailedOn, WorkerFailures{int(numbers()), int(numbers())})
				s.FailedTimes = append(s.FailedTimes, FailedTime{numbers(), numbers()})
			}
			for range rapid.IntRange(0, 4).Draw(t, "tasks") {
				task := TaskProgress{Done: rapid.Bool().Draw(t, "task done"), Run: int(numbers()), Worker: int(numbers()), Failures: int(numbers()),
					Checkpoint: text.Draw(t, "checkpoint"), Crashes: int(numbers()), Proven: int(numbers())}
				for range few.Draw(t, "silent") {
					task.Silent = append(task.Silent, SilentLoss{int(numbers()), rapid.Bool().Draw(t, "started"), numbers()})
				}
				s.Tasks = append(s.Tasks, task)
			}
			o.Steps = append(o.Steps, s)
		}
		p.Occurrences = append(p.Occurrences, o)
	}
	return p
}

// Guards against a row that no coordinator of this or an older build can read: its jobs would
// be held.
func TestProgressIsEncodedAsByEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		var own, other any
		data := p.appendJSON(nil)
		if err := json.Unmarshal(data, &own); err != nil {
			t.Fatalf("%v: %s", err, data)
		}
		if err := json.Unmarshal(reflected(t, p), &other); err != nil {
			t.Fatal(err)
		}
		a, errA := json.Marshal(own)
		b, errB := json.Marshal(other)
		if errA != nil || errB != nil || !bytes.Equal(a, b) {
			t.Fatalf("encoded as %s, by encoding/json as %s", a, b)
		}
		if byTags, err := json.Marshal(p); err != nil || !bytes.Equal(data, byTags) {
			t.Fatalf("encoded as %s, by encoding/json as %s (%v)", data, byTags, err)
		}
	})
}

// Guards against failures that count against the room for starts and checkpoints.
func TestSizeWithoutFailuresIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		for s := range p.steps() {
			s.AllDone = s.AllDone || len(s.Tasks) == 0
		}
		workers := rapid.IntRange(0, len(p.Workers)).Draw(t, "workers before")
		size := len(p.appendJSON(nil)) - p.failureBytes(workers)
		p.dropFailedTimes()
		p.dropFailures(workers)
		if without := len(p.appendJSON(nil)); size != without {
			t.Fatalf("%d bytes without failures, counted as %d", without, size)
		}
	})
}
