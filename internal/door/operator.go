package door

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strconv"

	"cuminloft/api"
	"cuminloft/internal/config"
)

// Operator implements the operators' requests. An *api.Error that a method returns is sent
// to the operator unchanged; other errors are reported as unavailable.
type Operator interface {
	Apply(ctx context.Context, r api.ApplyRequest) (api.ApplyReply, error)
	// Config returns a version of the configuration; zero is the accepted version.
	Config(ctx context.Context, version int64) (api.ConfigReply, error)
	History(ctx context.Context) (api.HistoryReply, error)
	Diff(ctx context.Context, from, to int64) (api.DiffReply, error)
	Status(ctx context.Context) (api.StatusReply, error)
	Timeline(ctx context.Context, q api.TimelineQuery) (api.TimelineReply, error)
	// Ready returns nil if this entry host can serve requests.
	Ready() error
}

func (f *Frontend) operatorRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/config", f.requireOperator(f.handleApply))
	mux.HandleFunc("GET /v1/config", f.requireOperator(f.handleConfig))
	mux.HandleFunc("GET /v1/config/history", f.requireOperator(f.handleHistory))
	mux.HandleFunc("GET /v1/config/diff", f.requireOperator(f.handleDiff))
	mux.HandleFunc("GET /v1/status", f.requireOperator(f.handleStatus))
	mux.HandleFunc("GET /v1/timeline", f.requireOperator(f.handleTimeline))
	mux.HandleFunc("GET /debug/vars", f.requireOperator(handleVars))
	mux.HandleFunc("GET /healthz", handleHealth)
	mux.HandleFunc("GET /readyz", f.handleReady)
}

// operatorHandler answers an operator's request or returns an error without answering.
type operatorHandler func(w http.ResponseWriter, r *http.Request) error

func (f *Frontend) requireOperator(next operatorHandler) http.HandlerFunc {
	return f.trackOpen(func(w http.ResponseWriter, r *http.Request) {
		if !f.isOperator(r) {
			writeError(w, operatorError(http.StatusUnauthorized, api.CodeUnauthorized, "operator key missing or wrong"))
			return
		}
		if err := next(w, r); err != nil {
			writeOperatorError(w, err)
		}
	})
}

func operatorError(status int, code api.Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message}
}

// isOperator compares the request's key with every operator key, so that a wrong key takes
// as long as a valid one.
func (f *Frontend) isOperator(r *http.Request) bool {
	got := []byte(config.HashKey(bearerKey(r)))
	found := 0
	for _, want := range f.opts.OperatorKeys {
		found |= subtle.ConstantTimeCompare(got, []byte(want))
	}
	return found == 1
}

func writeOperatorError(w http.ResponseWriter, err error) {
	var own *Error
	if errors.As(err, &own) {
		writeError(w, own)
		return
	}
	var e *api.Error
	if !errors.As(err, &e) {
		writeError(w, operatorError(http.StatusServiceUnavailable, api.CodeUnavailable, err.Error()))
		return
	}
	status := e.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	if e.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(e.RetryAfter()))
	}
	writeJSON(w, status, e)
}

func (f *Frontend) handleApply(w http.ResponseWriter, r *http.Request) error {
	var req api.ApplyRequest
	if refusal := decodeBody(w, r, f.limits.MaxConfig, &req); refusal != nil {
		return asQueryError(refusal)
	}
	reply, err := f.opts.Operator.Apply(r.Context(), req)
	if err != nil {
		return err
	}
	writeJSON(w, applyStatus(reply.State), reply)
	return nil
}

func applyStatus(s api.ApplyState) int {
	switch s {
	case api.ApplyStaged:
		return http.StatusAccepted
	case api.ApplyConflict:
		return http.StatusConflict
	case api.ApplyRefused:
		return http.StatusUnprocessableEntity
	}
	return http.StatusOK
}

func (f *Frontend) handleConfig(w http.ResponseWriter, r *http.Request) error {
	version, err := queryInt(r, "version")
	if err != nil {
		return err
	}
	return reply(w)(f.opts.Operator.Config(r.Context(), version))
}

func (f *Frontend) handleHistory(w http.ResponseWriter, r *http.Request) error {
	return reply(w)(f.opts.Operator.History(r.Context()))
}

func (f *Frontend) handleDiff(w http.ResponseWriter, r *http.Request) error {
	from, err := queryInt(r, "from")
	if err != nil {
		return err
	}
	to, err := queryInt(r, "to")
	if err != nil {
		return err
	}
	return reply(w)(f.opts.Operator.Diff(r.Context(), from, to))
}

func (f *Frontend) handleStatus(w http.ResponseWriter, r *http.Request) error {
	return reply(w)(f.opts.Operator.Status(r.Context()))
}

func (f *Frontend) handleTimeline(w http.ResponseWriter, r *http.Request) error {
	limit, err := queryInt(r, "limit")
	if err != nil {
		return err
	}
	q := r.URL.Query()
	return reply(w)(f.opts.Operator.Timeline(r.Context(), api.TimelineQuery{
		Request: q.Get("request"),
		Job:     q.Get("job"),
		Team:    q.Get("team"),
		Host:    q.Get("host"),
		AZ:      q.Get("az"),
		Limit:   int(limit),
	}))
}

func handleVars(w http.ResponseWriter, r *http.Request) error {
	expvar.Handler().ServeHTTP(w, r)
	return nil
}

func handleHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// handleReady reports to the load balancer whether this entry host accepts requests.
func (f *Frontend) handleReady(w http.ResponseWriter, _ *http.Request) {
	if f.isDraining() {
		writeError(w, refuseDraining())
		return
	}
	if err := f.opts.Operator.Ready(); err != nil {
		writeError(w, operatorError(http.StatusServiceUnavailable, api.CodeUnavailable, err.Error()))
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// reply returns a function that sends v, or returns err if it is not nil.
func reply(w http.ResponseWriter) func(v any, err error) error {
	return func(v any, err error) error {
		if err != nil {
			return err
		}
		writeJSON(w, http.StatusOK, v)
		return nil
	}
}

func queryInt(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, invalid(name, "want a natural number, got "+strconv.Quote(text))
	}
	return n, nil
}

// decodeBody reads one JSON value of at most limit bytes. Unknown fields and
// trailing data are errors.
func decodeBody(w http.ResponseWriter, r *http.Request, limit int64, v any) *Error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		err = requireEnd(dec)
	}
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return neverSent(http.StatusRequestEntityTooLarge, api.CodeTooLarge,
			"the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return invalid("body", err.Error())
}

func requireEnd(dec *json.Decoder) error {
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}
