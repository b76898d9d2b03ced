package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"golang.org/x/sync/errgroup"

	"cuminloft/internal/httpjson"
	"cuminloft/internal/model"
	"cuminloft/internal/worker"
	"cuminloft/internal/worker/httpworker"
)

// WorkerHandler serves w over HTTP.
func WorkerHandler(w *Worker) http.Handler {
	s := workerServer{w}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpworker.PathFence, s.fence)
	mux.HandleFunc("POST "+httpworker.PathStart, s.start)
	mux.HandleFunc("POST "+httpworker.PathRun, s.run)
	mux.HandleFunc("POST "+httpworker.PathHeartbeat, s.heartbeat)
	mux.HandleFunc("POST "+httpworker.PathSettle, s.settle)
	mux.HandleFunc("POST "+httpworker.PathStop, s.stop)
	mux.HandleFunc("POST "+httpworker.PathCheckpoint, s.checkpoint)
	mux.HandleFunc("POST "+httpworker.PathThrottle, s.throttle)
	mux.HandleFunc("GET "+PathFaults, s.getFaults)
	mux.HandleFunc("PUT "+PathFaults, s.setFaults)
	mux.HandleFunc("GET "+PathRecord, s.record)
	mux.HandleFunc("POST "+PathRestart, s.restart)
	mux.HandleFunc("PUT "+PathLeaving, s.leaving)
	return mux
}

// ServeWorkers serves one stand-in worker at each spec's address until ctx ends.
// ready, if not nil, is called when all listen.
func ServeWorkers(ctx context.Context, specs []model.WorkerSpec, o Options, ready func()) error {
	listeners := make([]net.Listener, 0, len(specs))
	for _, spec := range specs {
		l, err := net.Listen("tcp", spec.Addr)
		if err != nil {
			closeAll(listeners)
			return err
		}
		listeners = append(listeners, l)
	}
	group, ctx := errgroup.WithContext(ctx)
	for i, spec := range specs {
		handler := WorkerHandler(NewWorker(spec, o))
		group.Go(func() error { return serve(ctx, listeners[i], handler) })
	}
	if ready != nil {
		ready()
	}
	return group.Wait()
}

func closeAll(listeners []net.Listener) {
	for _, l := range listeners {
		_ = l.Close()
	}
}

type workerServer struct{ *Worker }

func (s workerServer) fence(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decode(w, r, &c) {
		inv, err := s.RaiseFence(r.Context(), c.Fence)
		workerReply(w, inv, err)
	}
}

func (s workerServer) start(w http.ResponseWriter, r *http.Request) {
	var c worker.Start
	if decode(w, r, &c) {
		workerReply(w, struct{}{}, s.Start(r.Context(), c))
	}
}

func (s workerServer) heartbeat(w http.ResponseWriter, r *http.Request) {
	var h worker.Heartbeat
	if decode(w, r, &h) {
		reply, err := s.Heartbeat(r.Context(), h)
		workerReply(w, reply, err)
	}
}

func (s workerServer) settle(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decode(w, r, &c) {
		report, err := s.Settle(r.Context(), c.Fence, c.Attempt)
		workerReply(w, report, err)
	}
}

func (s workerServer) stop(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decode(w, r, &c) {
		workerReply(w, struct{}{}, s.Stop(r.Context(), c.Fence, c.Attempt))
	}
}

func (s workerServer) checkpoint(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decode(w, r, &c) {
		name, err := s.Checkpoint(r.Context(), c.Fence, c.Attempt)
		workerReply(w, httpworker.CheckpointReply{Name: name}, err)
	}
}

func (s workerServer) throttle(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decode(w, r, &c) {
		workerReply(w, struct{}{}, s.Throttle(r.Context(), c.Fence, c.Attempt, c.Percent))
	}
}

// run answers a direct request. A body that is cut short breaks the connection
// after the declared length was sent.
func (s workerServer) run(w http.ResponseWriter, r *http.Request) {
	start, err := httpworker.DecodeStart(r.Header.Get(httpworker.HeaderStart))
	if err != nil {
		httpjson.WriteError(w, &httpjson.StatusError{Status: http.StatusBadRequest, Code: "bad_request", Message: err.Error()})
		return
	}
	answer, err := s.Execute(r.Context(), start, r.Body)
	if err != nil {
		workerReply(w, nil, err)
		return
	}
	outcome := model.OutcomeDone
	if answer.Failed {
		outcome = model.OutcomeFailed
	}
	w.Header().Set(httpworker.HeaderAttempt, httpworker.FormatAttempt(answer.Attempt))
	w.Header().Set(httpworker.HeaderOutcome, string(outcome))
	w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	n, err := io.Copy(w, answer.Body)
	if err != nil || n < answer.Length {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func (s workerServer) getFaults(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, s.Get())
}

func (s workerServer) setFaults(w http.ResponseWriter, r *http.Request) {
	putFaults(w, r, &s.Faults)
}

func (s workerServer) record(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, s.AttemptRecords())
}

func (s workerServer) restart(w http.ResponseWriter, _ *http.Request) {
	s.Restart()
	httpjson.WriteJSON(w, struct{}{})
}

func (s workerServer) leaving(w http.ResponseWriter, r *http.Request) {
	var leaving bool
	if decode(w, r, &leaving) {
		s.SetLeaving(leaving)
		httpjson.WriteJSON(w, leaving)
	}
}

// workerReply answers with v or err. An ambiguous error breaks the connection,
// as a lost answer does.
func workerReply(w http.ResponseWriter, v any, err error) {
	if err == nil {
		httpjson.WriteJSON(w, v)
		return
	}
	refusal := httpworker.NewError(err)
	if refusal == nil {
		panic(http.ErrAbortHandler)
	}
	httpjson.WriteError(w, refusal)
}
