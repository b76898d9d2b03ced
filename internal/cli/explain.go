package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"cuminloft/internal/entry"
	"cuminloft/internal/httpjson"
)

// explainHostTimeout bounds the call to one host, which has its own bound of two seconds.
const explainHostTimeout = 3 * time.Second

type explainCommand struct {
	File    string   `arg:"" type:"path" help:"File with the job as callers submit it, in JSON; - for standard input."`
	Queue   string   `required:"" help:"Queue of the job."`
	Team    string   `required:"" help:"Team of the job."`
	Metrics []string `required:"" sep:"," placeholder:"HOST:PORT" help:"Metrics listeners of entry hosts; the one that coordinates the cell answers."`
}

// Help shows examples.
func (explainCommand) Help() string {
	return `Examples:
  cuminloft explain job.json --queue batch --team press --metrics 10.0.0.1:9100,10.0.0.2:9100
  cuminloft explain - --queue batch --team press --metrics 10.0.0.1:9100 -o json < job.json`
}

// Run asks the hosts in order until the coordinator answers. It changes nothing in the cell.
func (c *explainCommand) Run(s *session) error {
	job, err := c.readJob(s)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	client := httpjson.NewClient()
	var failed error
	for _, address := range c.Metrics {
		explained, err := c.ask(s.ctx, client, address, job)
		if err == nil {
			return s.printer().value(explained, func(w io.Writer) { printExplanation(w, explained) })
		}
		var refused *httpjson.StatusError
		if errors.As(err, &refused) && refused.Status == http.StatusBadRequest {
			return withCode(ExitUsage, errors.New(refused.Message))
		}
		failed = errors.Join(failed, fmt.Errorf("%s: %w", address, err))
	}
	return withCode(ExitUnreachable, fmt.Errorf("no host that coordinates the cell has answered:\n%w", failed))
}

// readJob reads the job's JSON, which the host decodes.
func (c *explainCommand) readJob(s *session) (json.RawMessage, error) {
	body, err := s.body(c.File)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	if !json.Valid(data) {
		return nil, fmt.Errorf("%s holds no valid JSON", c.File)
	}
	return data, nil
}

// ask asks one host.
func (c *explainCommand) ask(ctx context.Context, client *http.Client, address string, job json.RawMessage) (entry.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainHostTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: entry.ExplainPath, RawQuery: url.Values{"queue": {c.Queue}, "team": {c.Team}}.Encode()}
	var out entry.Explanation
	err := httpjson.Call(ctx, client, http.MethodPost, target.String(), job, &out)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return out, errors.New("the answer is not an explanation; the host may run an older build")
	}
	return out, err
}

// printExplanation prints an explanation as text.
func printExplanation(w io.Writer, e entry.Explanation) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	if e.Refused != "" {
		retry := "a retry does not help"
		if e.RetryAfterMS > 0 {
			retry = fmt.Sprintf("retry after %d ms", e.RetryAfterMS)
		}
		printf("would be refused: %s; %s", e.Refused, retry)
		return
	}
	if e.AdmittedShare < 1 {
		printf("may be refused: host %s accepts %.0f%% of new jobs; retry after %d ms", e.Host, 100*e.AdmittedShare, e.AdmissionRetryMS)
	}
	tight := ""
	if e.Tight {
		tight = ", behind jobs that are more likely on time"
	}
	printf("group: %s%s; latest start in %d ms; behind %d waiting steps with %d tasks", e.Group, tight, e.LatestStartMS, e.StepsAhead, e.TasksAhead)
	for _, step := range e.Steps {
		kind := "tasks"
		if step.Gang {
			kind = "tasks as a gang"
		}
		printf("step %d, %d %s: waits for %s; %d candidates", step.Step, step.Tasks, kind, step.WaitsFor, step.CandidateCount)
		var rows [][]any
		for _, c := range step.Candidates {
			rows = append(rows, []any{c.Worker, c.AZ, c.Fits, fmt.Sprintf("%.2f", c.Score)})
		}
		if len(rows) > 0 {
			table(w, "WORKER\tAZ\tFITS\tSCORE", rows)
		}
		for _, reason := range slices.Sorted(maps.Keys(step.Excluded)) {
			printf("excluded: %d workers (%s)", step.Excluded[reason], reason)
		}
	}
}
