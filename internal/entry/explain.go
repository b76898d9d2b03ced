package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"cuminloft/internal/coordinator"
	"cuminloft/internal/dispatch"
	"cuminloft/internal/httpjson"
	"cuminloft/internal/workload"
)

// ExplainPath is the path of the call on the metrics listener that explains a job. The body
// is the job in the callers' format, the parameters "queue" and "team" name its queue and
// its team.
const ExplainPath = "/explain"

// CodeNotCoordinator is the error code of a host that does not coordinate the cell.
const CodeNotCoordinator = "not_coordinator"

// Limits of the calls that explain a job.
const (
	maxExplainBytes = 2 << 20
	explainTimeout  = 2 * time.Second // as long as callers wait for the coordinator
)

// Explanation is the answer to a call on ExplainPath.
type Explanation struct {
	Host string `json:"host"` // that coordinates the cell
	// AdmittedShare is the share of new jobs that this host accepts now, by what links
	// carry. A job that is not among them is refused, to be retried after AdmissionRetryMS.
	AdmittedShare    float64 `json:"admitted_share"`
	AdmissionRetryMS int64   `json:"admission_retry_ms,omitempty"`
	dispatch.JobExplanation
}

// explainer answers calls on ExplainPath.
type explainer struct {
	host      string
	readJob   func(io.Reader) (*workload.Job, error)
	explain   func(context.Context, *workload.Job) (dispatch.JobExplanation, error)
	admission *admission
}

// ServeHTTP answers one call. It changes nothing.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job, err := e.readJob(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	if err != nil {
		httpjson.WriteError(w, &httpjson.StatusError{Status: http.StatusBadRequest, Code: "malformed", Message: err.Error()})
		return
	}
	job.Queue, job.Team = r.URL.Query().Get("queue"), r.URL.Query().Get("team")
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	explained, err := e.explain(ctx, job)
	switch {
	case coordinator.IsNotReady(err):
		httpjson.WriteError(w, &httpjson.StatusError{Status: http.StatusServiceUnavailable, Code: CodeNotCoordinator,
			Message: fmt.Sprintf("host %s does not coordinate the cell", e.host)})
		return
	case err != nil:
		httpjson.WriteError(w, &httpjson.StatusError{Status: http.StatusServiceUnavailable, Code: "no_answer",
			Message: fmt.Sprintf("the coordinator's loop on host %s has not answered: %v", e.host, err)})
		return
	}
	out := Explanation{Host: e.host, AdmittedShare: e.admission.admittedNow(), JobExplanation: explained}
	if out.AdmittedShare < 1 {
		out.AdmissionRetryMS = retryLinkFull.Milliseconds()
	}
	httpjson.WriteJSON(w, out)
}

// metricsHandler serves the metrics, and explanations of jobs.
func (p *process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", p.metrics.handler())
	if p.adapter.ReadJob != nil {
		mux.Handle("POST "+ExplainPath, &explainer{p.settings.Host, p.adapter.ReadJob, p.local.Explain, p.admission})
	}
	return mux
}
