package dispatch

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
)

// The JSON of progress is written without encoding/json, which takes several times as long.
// Load pattern: a burst of jobs with hundreds of tasks, coordinated on a fraction of a core;
// each commit stores the whole progress of the jobs that have changed.

// appendJSON appends the JSON form, as json.Marshal writes it.
func (p *Progress) appendJSON(b []byte) []byte {
	b = appendText(append(b, `{"state":`...), string(p.State))
	b = append(b, ',')
	if p.Begun {
		b = append(b, `"begun":true,`...)
	}
	b = appendNumber(b, `"next":`, int64(p.NextOccurrence))
	b = p.appendWorkers(b)
	b = p.appendLeaving(b)
	if len(p.Occurrences) > 0 {
		b = append(b, `"occ":[`...)
		for i := range p.Occurrences {
			b = append(p.Occurrences[i].appendJSON(b), ',')
		}
		b = append(closed(b, ']'), ',')
	}
	b = appendNumber(b, `"ended_at":`, p.EndedAt)
	return closed(b, '}')
}

// appendWorkers appends the member of the workers and a comma, if there are any.
func (p *Progress) appendWorkers(b []byte) []byte {
	if len(p.Workers) == 0 {
		return b
	}
	b = append(b, `"workers":[`...)
	for i := range p.Workers {
		b = append(p.Workers[i].appendJSON(b), ',')
	}
	return append(closed(b, ']'), ',')
}

// appendLeaving appends the member of the leaving workers and a comma, if there are any.
func (p *Progress) appendLeaving(b []byte) []byte {
	if len(p.Leaving) == 0 {
		return b
	}
	b = append(b, `"leaving":[`...)
	for _, i := range p.Leaving {
		b = append(strconv.AppendInt(b, int64(i), 10), ',')
	}
	return append(closed(b, ']'), ',')
}

func (w *WorkerIncarnation) appendJSON(b []byte) []byte {
	b = appendText(append(b, `{"id":`...), w.ID)
	b = strconv.AppendInt(append(b, `,"born":`...), w.Incarnation, 10)
	if w.Address != "" {
		b = appendText(append(b, `,"addr":`...), w.Address)
	}
	return append(b, '}')
}

func (o *OccurrenceProgress) appendJSON(b []byte) []byte {
	b = strconv.AppendInt(append(b, `{"k":`...), int64(o.Index), 10)
	if o.Steps == nil {
		return append(b, `,"steps":null}`...)
	}
	b = append(b, `,"steps":[`...)
	for i := range o.Steps {
		b = append(o.Steps[i].appendJSON(b), ',')
	}
	return append(closed(b, ']'), '}')
}

func (p *StepProgress) appendJSON(b []byte) []byte {
	b = append(b, '{')
	b = appendNumber(b, `"fails":`, int64(p.GangFailures))
	b = appendNumber(b, `"failed_run":`, int64(p.LastFailedGangRun))
	if p.GangCheckpoint != "" {
		b = append(appendText(append(b, `"saved":`...), p.GangCheckpoint), ',')
	}
	if p.AllDone {
		b = append(b, `"done":true,`...)
	}
	if len(p.Outlived) > 0 {
		b = base64.StdEncoding.AppendEncode(append(b, `"outlived":"`...), p.Outlived)
		b = append(b, `",`...)
	}
	b = p.appendFailures(b)
	if len(p.Tasks) > 0 {
		b = append(b, `"tasks":[`...)
		for i := range p.Tasks {
			b = append(p.Tasks[i].appendJSON(b), ',')
		}
		b = append(closed(b, ']'), ',')
	}
	return closed(b, '}')
}

// appendFailures appends the members of failures, each with a comma, as far as there are any.
func (p *StepProgress) appendFailures(b []byte) []byte {
	if len(p.FailedOn) > 0 {
		b = append(b, `"failed_on":[`...)
		for _, f := range p.FailedOn {
			b = append(appendNumbers(b, int64(f[0]), int64(f[1])), ',')
		}
		b = append(closed(b, ']'), ',')
	}
	if len(p.FailedTimes) > 0 {
		b = append(b, `"failed_ms":[`...)
		for _, f := range p.FailedTimes {
			b = append(appendNumbers(b, f[0], f[1]), ',')
		}
		b = append(closed(b, ']'), ',')
	}
	return b
}

func (t *TaskProgress) appendJSON(b []byte) []byte {
	switch {
	case t.Done:
		return append(b, '1')
	case t.isNew():
		return append(b, '0')
	}
	b = append(b, '[')
	for _, n := range [...]int{t.Run, t.Worker, t.Failures} {
		b = append(strconv.AppendInt(b, int64(n), 10), ',')
	}
	b = appendText(b, t.Checkpoint)
	if t.Crashes > 0 || len(t.Silent) > 0 {
		b = strconv.AppendInt(append(b, ','), int64(t.Crashes), 10)
		b = strconv.AppendInt(append(b, ','), int64(t.Proven), 10)
	}
	if len(t.Silent) > 0 {
		b = append(b, ',', '[')
		for i := range t.Silent {
			b = append(t.Silent[i].appendJSON(b), ',')
		}
		b = closed(b, ']')
	}
	return append(b, ']')
}

func (l *SilentLoss) appendJSON(b []byte) []byte {
	started := int64(0)
	if l.Started {
		started = 1
	}
	return appendNumbers(b, int64(l.Worker), started, l.Since)
}

// MarshalJSON implements json.Marshaler.
func (t TaskProgress) MarshalJSON() ([]byte, error) { return t.appendJSON(nil), nil }

// MarshalJSON implements json.Marshaler.
func (l SilentLoss) MarshalJSON() ([]byte, error) { return l.appendJSON(nil), nil }

// closed ends an object or array whose parts are each followed by a comma.
func closed(b []byte, end byte) []byte {
	if last := len(b) - 1; b[last] == ',' {
		b[last] = end
		return b
	}
	return append(b, end)
}

// appendNumber appends a member of an object, with its name and a comma, unless it is 0.
func appendNumber(b []byte, name string, n int64) []byte {
	if n == 0 {
		return b
	}
	return append(strconv.AppendInt(append(b, name...), n, 10), ',')
}

// appendNumbers appends an array.
func appendNumbers(b []byte, numbers ...int64) []byte {
	b = append(b, '[')
	for _, n := range numbers {
		b = append(strconv.AppendInt(b, n, 10), ',')
	}
	return closed(b, ']')
}

// appendText appends a string.
func appendText(b []byte, text string) []byte {
	if isPlain(text) {
		return append(append(append(b, '"'), text...), '"')
	}
	data, err := json.Marshal(text)
	if err != nil {
		return append(b, `""`...) // cannot happen: any string can be encoded
	}
	return append(b, data...)
}

// isPlain reports whether a text is the same in JSON.
func isPlain(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ' || c > '~', c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}

// storedLength returns the length of a text's JSON form without its quotes.
func storedLength(text string) int {
	if isPlain(text) {
		return len(text)
	}
	return len(appendText(nil, text)) - len(`""`)
}
