package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/entry"
	"cuminloft/internal/httpjson"
)

// answering returns the address of a host that answers every explain call with f.
func answering(t *testing.T, f http.HandlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+entry.ExplainPath, f)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a command that stops at a host that does not coordinate, against output
// that leaves out what the host has answered, and against wrong exit codes.
func TestExplainCommand(t *testing.T) {
	other := answering(t, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.WriteError(w, &httpjson.StatusError{Status: http.StatusServiceUnavailable, Code: entry.CodeNotCoordinator, Message: "host h1 does not coordinate the cell"})
	})
	malformed := answering(t, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.WriteError(w, &httpjson.StatusError{Status: http.StatusBadRequest, Code: "malformed", Message: "step without tasks"})
	})
	var seen string
	coordinator := answering(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.URL.Query().Get("queue") + " " + r.URL.Query().Get("team")
		httpjson.WriteJSON(w, entry.Explanation{Host: "h2", AdmittedShare: 0.5, AdmissionRetryMS: 1000, JobExplanation: dispatch.JobExplanation{
			Group: "urgent", Tight: true, StepsAhead: 3, TasksAhead: 7, Steps: []dispatch.StepExplanation{{Tasks: 2, Gang: true,
				WaitsFor: dispatch.WaitsForAdvice, CandidateCount: 1, Candidates: []dispatch.Candidate{{Worker: "w1", AZ: "a", Fits: 2, Score: 0.25}},
				Excluded: map[string]int{"cordoned": 4}}}}})
	})
	refusing := answering(t, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.WriteJSON(w, entry.Explanation{AdmittedShare: 1, JobExplanation: dispatch.JobExplanation{Refused: "there is no queue"}})
	})
	older := answering(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("# HELP a metric\n")) })
	for name, test := range map[string]struct {
		hosts, job string
		flags      []string
		code       int
		out, err   []string
	}{
		"text": {hosts: other + "," + coordinator, job: "{}", out: []string{"50% of new jobs; retry after 1000 ms", "group: urgent, behind",
			"behind 3 waiting steps with 7 tasks", "2 tasks as a gang: waits for advice; 1 candidates", "w1", "excluded: 4 workers (cordoned)"}},
		"JSON":              {hosts: coordinator, job: "{}", flags: []string{"-o", "json"}, out: []string{`"tasks_ahead": 7`, `"waits_for": "advice"`}},
		"refused":           {hosts: refusing, job: "{}", out: []string{"would be refused: there is no queue; a retry does not help"}},
		"no coordinator":    {hosts: other, job: "{}", code: ExitUnreachable, err: []string{"no host that coordinates", "h1 does not coordinate"}},
		"older build first": {hosts: older + "," + refusing, job: "{}", out: []string{"would be refused"}},
		"older build":       {hosts: older, job: "{}", code: ExitUnreachable, err: []string{"not an explanation"}},
		"no JSON":           {hosts: coordinator, job: "{", code: ExitUsage, err: []string{"no valid JSON"}},
		"malformed":         {hosts: malformed, job: "{}", code: ExitUsage, err: []string{"step without tasks"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			args := append([]string{"explain", "-", "--queue", "q", "--team", "t", "--metrics", test.hosts}, test.flags...)
			is.Equal(Main(args, strings.NewReader(test.job), &stdout, &stderr), test.code)
			for _, part := range test.out {
				is.True(strings.Contains(stdout.String(), part))
			}
			for _, part := range test.err {
				is.True(strings.Contains(stderr.String(), part))
			}
			if name == "JSON" {
				is.True(json.Valid(stdout.Bytes()))
			}
		})
	}
	is.New(t).Equal(seen, "q t")
}
