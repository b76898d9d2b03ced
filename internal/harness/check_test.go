package harness

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/api"
	"cuminloft/internal/model"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

var epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// at returns a time some seconds after epoch.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// run returns an attempt of task 0 of the job tag that is done at its end.
func run(tag, worker, az string, from, to float64) standin.AttemptRecord {
	return standin.AttemptRecord{
		Worker: worker, AZ: az, Tag: tag, Team: TeamProofs, State: "done", Direct: true,
		Attempt: attempt(tag, 1),
		Size:    model.Resources{Slots: 1},
		Start:   at(from), End: at(to),
	}
}

func attempt(job string, n int) worker.Attempt {
	return worker.Attempt{Task: model.TaskID{Job: model.JobID(job)}, Number: n}
}

// op returns an answered direct request with the tag a.
func op(outcome model.Outcome, sent float64) Op {
	return Op{Tag: "a", Direct: true, Tasks: 1, Outcome: outcome, Whole: true, Key: KeyID(TeamProofs, 1), Sent: at(sent), Answered: at(sent + 1)}
}

func TestCheckFindsEachViolation(t *testing.T) {
	const w0, w1 = "w-0-000", "w-1-000"
	job := Op{Tag: "j", Job: "job-1", Tasks: 2}
	accepted := func(v int64, sent float64, out, withdrawn []string) ApplyRecord {
		return ApplyRecord{Version: v, State: api.ApplyAccepted, Sent: at(sent), Answered: at(sent + 1), Out: out, Withdrawn: withdrawn}
	}
	many := func(n int, az string) []standin.AttemptRecord {
		var runs []standin.AttemptRecord
		for i := range n {
			r := run(string(rune('A'+i)), w0, az, 0, 1)
			r.Worker = NewConfig(8).Workers[i/8].ID
			runs = append(runs, r)
		}
		return runs
	}
	sameWorker := many(9, AZs[0])
	for i := range sameWorker {
		sameWorker[i].Worker = w0
	}
	tests := []struct {
		name string
		log  *Log
		runs []standin.AttemptRecord
		rows []string // values written to configKey, in order
		want string   // violated promise; empty: none
	}{
		{name: "healthy", log: &Log{Ops: []Op{op("done", 0)}}, runs: []standin.AttemptRecord{run("a", w0, AZs[0], 0, 1)}},
		{name: "two places", runs: []standin.AttemptRecord{run("a", w0, AZs[0], 0, 2), run("a", w1, AZs[1], 1, 3)}, want: "one place"},
		{name: "one after the other", runs: []standin.AttemptRecord{run("a", w0, AZs[0], 0, 1), run("a", w1, AZs[1], 1, 3)}},
		{name: "worker over its capacity", runs: sameWorker, want: "capacity"},
		{name: "team over its limit", runs: many(41, AZs[0]), want: "limit"},
		{name: "team at its limit", runs: many(40, AZs[0])},
		{name: "started twice", log: &Log{Ops: []Op{op("done", 0)}}, runs: []standin.AttemptRecord{run("a", w0, AZs[0], 0, 1), run("a", w0, AZs[0], 2, 3)}, want: "at most once"},
		{name: "not run but ran", log: &Log{Ops: []Op{op("not_run", 0)}}, runs: []standin.AttemptRecord{run("a", w0, AZs[0], 0, 1)}, want: "not run"},
		{name: "done but never ran", log: &Log{Ops: []Op{op("done", 0)}}, want: "answer"},
		{name: "foreign answer", log: &Log{Ops: []Op{{Tag: "a", Direct: true, Outcome: "done"}}}, runs: []standin.AttemptRecord{run("a", w0, AZs[0], 0, 1)}, want: "answer"},
		{name: "job lost", log: &Log{Ops: []Op{job}}, want: "job lost"},
		{name: "job stuck", log: &Log{Ops: []Op{job}, Finals: map[string]FinalState{"job-1": {Known: true}}}, want: "job stuck"},
		{name: "job half done", log: &Log{Ops: []Op{job}, Finals: map[string]FinalState{"job-1": {Known: true, Ended: true, Outcome: "done"}}}, runs: []standin.AttemptRecord{run("j", w0, AZs[0], 0, 1)}, want: "job done"},
		{name: "start in an AZ out of service", log: &Log{Applied: []ApplyRecord{accepted(2, 0, []string{AZs[0]}, nil)}}, runs: []standin.AttemptRecord{run("a", w0, AZs[0], 6, 7)}, want: "AZ out"},
		{name: "start within the grace", log: &Log{Applied: []ApplyRecord{accepted(2, 0, []string{AZs[0]}, nil)}}, runs: []standin.AttemptRecord{run("a", w0, AZs[0], 4, 7)}},
		{name: "start when the AZ is back in service", log: &Log{Applied: []ApplyRecord{accepted(2, 0, []string{AZs[0]}, nil), accepted(3, 5, nil, nil)}}, runs: []standin.AttemptRecord{run("a", w0, AZs[0], 6, 7)}},
		{name: "withdrawn key", log: &Log{Ops: []Op{op("done", 6)}, Applied: []ApplyRecord{accepted(2, 0, nil, []string{KeyID(TeamProofs, 1)})}}, runs: []standin.AttemptRecord{run("a", w0, AZs[0], 6, 7)}, want: "withdrawn key"},
		{name: "config reverts", rows: []string{`1`, `3`, `2`}, want: "config"},
		{name: "config grows", rows: []string{`1`, `{"version":2}`, `3`}},
		{name: "two winners", log: &Log{Applied: []ApplyRecord{accepted(2, 0, nil, nil), accepted(2, 0, []string{AZs[0]}, nil)}}, want: "operator race"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := History{Config: NewConfig(8), Log: cmp.Or(tt.log, &Log{}), Runs: tt.runs, End: at(60)}
			for _, v := range tt.rows {
				h.Table = append(h.Table, standin.TableLogEntry{Key: configKey, Value: []byte(v)})
			}
			promises := ""
			for _, v := range Check(h) {
				promises = v.Promise
			}
			is.Equal(promises, tt.want)
		})
	}
}
