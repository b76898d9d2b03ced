package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"cuminloft/api"
)

// Format is an output format.
type Format string

// The output formats.
const (
	FormatText   Format = "text"   // one event per line
	FormatJSON   Format = "json"   // one JSON object per line
	FormatChrome Format = "chrome" // Chrome trace event format
)

// Write writes events in the given format.
func Write(w io.Writer, f Format, events []Event) error {
	switch f {
	case FormatText:
		return writeText(w, events)
	case FormatJSON:
		return writeJSON(w, events)
	case FormatChrome:
		return writeChrome(w, events)
	}
	return fmt.Errorf("format %q: want text, json or chrome", f)
}

const textTime = "15:04:05.000"

func writeText(w io.Writer, events []Event) error {
	for i := range events {
		if _, err := io.WriteString(w, textLine(&events[i])+"\n"); err != nil {
			return err
		}
	}
	return nil
}

// textLine formats an event: time, counter, AZ/host, kind and the fields that are set.
func textLine(e *Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s+%d %s/%s %s", Time(e.HLC).Format(textTime), counter(e.HLC), e.AZ, e.Host, e.Kind)
	writeField(&b, "request", e.Request)
	if e.Job != e.Request {
		writeField(&b, "job", e.Job)
	}
	writeField(&b, "team", e.Team)
	writeField(&b, "target", e.Target)
	if e.Detail != "" {
		fmt.Fprintf(&b, " %q", e.Detail)
	}
	if e.Duration > 0 {
		writeField(&b, "took", e.Duration.Round(time.Microsecond).String())
	}
	return b.String()
}

func writeField(b *strings.Builder, name, value string) {
	if value != "" {
		b.WriteString(" " + name + "=" + value)
	}
}

func writeJSON(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	for _, e := range ToAPI(events) {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// chromeTrace is a document in the Chrome trace event format.
type chromeTrace struct {
	TraceEvents []chromeEvent `json:"traceEvents"`
}

// chromeEvent is one entry of the trace event format. Times are in microseconds.
type chromeEvent struct {
	Name     string      `json:"name"`
	Phase    string      `json:"ph"` // X: complete, i: instant, M: metadata
	Start    int64       `json:"ts"`
	Duration int64       `json:"dur,omitempty"`
	PID      int         `json:"pid"` // one for each host
	TID      int         `json:"tid"` // one for each request or job of a host
	Scope    string      `json:"s,omitempty"`
	Args     *chromeArgs `json:"args,omitempty"`
}

// chromeArgs holds the details that a viewer shows for an event.
type chromeArgs struct {
	Name  string             `json:"name,omitempty"` // of a metadata event
	Event *api.TimelineEvent `json:"event,omitempty"`
}

// chromeWriter converts events. It assigns process ids to hosts and thread ids to their
// requests and jobs, in order of appearance.
type chromeWriter struct {
	hosts   map[string]int
	threads map[[2]string]int
	out     []chromeEvent
}

func writeChrome(w io.Writer, events []Event) error {
	t := &chromeWriter{hosts: make(map[string]int), threads: make(map[[2]string]int)}
	converted := ToAPI(events)
	for i := range events {
		t.add(&events[i], &converted[i])
	}
	return json.NewEncoder(w).Encode(chromeTrace{TraceEvents: t.out})
}

func (t *chromeWriter) add(e *Event, converted *api.TimelineEvent) {
	pid := t.host(e)
	c := chromeEvent{
		Name:  string(e.Kind),
		Phase: "i",
		Scope: "t",
		Start: Time(e.HLC).UnixMicro() + counter(e.HLC),
		PID:   pid,
		TID:   t.thread(e, pid),
		Args:  &chromeArgs{Event: converted},
	}
	if e.Duration > 0 {
		c.Phase, c.Scope = "X", ""
		c.Duration = e.Duration.Microseconds()
		c.Start -= c.Duration
	}
	t.out = append(t.out, c)
}

func (t *chromeWriter) host(e *Event) int {
	id, ok := t.hosts[e.Host]
	if !ok {
		id = len(t.hosts) + 1
		t.hosts[e.Host] = id
		t.name("process_name", e.AZ+"/"+e.Host, id, 0)
	}
	return id
}

func (t *chromeWriter) thread(e *Event, pid int) int {
	name := e.Request
	if name == "" {
		name = e.Job
	}
	if name == "" {
		return 0
	}
	key := [2]string{e.Host, name}
	id, ok := t.threads[key]
	if !ok {
		id = len(t.threads) + 1
		t.threads[key] = id
		t.name("thread_name", name, pid, id)
	}
	return id
}

func (t *chromeWriter) name(kind, name string, pid, tid int) {
	t.out = append(t.out, chromeEvent{Name: kind, Phase: "M", PID: pid, TID: tid, Args: &chromeArgs{Name: name}})
}
