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

// WorkerHandler returns the HTTP handler of w: the worker protocol and the control
// paths.
func WorkerHandler(w *Worker) http.Handler {
	s := workerServer{w}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpworker.PathFence, s.handleFence)
	mux.HandleFunc("POST "+httpworker.PathStart, s.handleStart)
	mux.HandleFunc("POST "+httpworker.PathRun, s.handleRun)
	mux.HandleFunc("POST "+httpworker.PathHeartbeat, s.handleHeartbeat)
	mux.HandleFunc("POST "+httpworker.PathSettle, s.handleSettle)
	mux.HandleFunc("POST "+httpworker.PathStop, s.handleStop)
	mux.HandleFunc("POST "+httpworker.PathCheckpoint, s.handleCheckpoint)
	mux.HandleFunc("POST "+httpworker.PathThrottle, s.handleThrottle)
	mux.HandleFunc("GET "+PathFaults, s.handleGetFaults)
	mux.HandleFunc("PUT "+PathFaults, s.handleSetFaults)
	mux.HandleFunc("GET "+PathRecord, s.handleRecord)
	mux.HandleFunc("POST "+PathRestart, s.handleRestart)
	mux.HandleFunc("PUT "+PathLeaving, s.handleLeaving)
	return mux
}

// ServeWorkers serves one stand-in worker at the address of each spec until ctx ends.
// It calls ready, if not nil, once all workers listen.
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

func (s workerServer) handleFence(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decodeBody(w, r, &c) {
		inv, err := s.RaiseFence(r.Context(), c.Fence)
		writeWorkerReply(w, inv, err)
	}
}

func (s workerServer) handleStart(w http.ResponseWriter, r *http.Request) {
	var c worker.Start
	if decodeBody(w, r, &c) {
		writeWorkerReply(w, struct{}{}, s.Start(r.Context(), c))
	}
}

func (s workerServer) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var h worker.Heartbeat
	if decodeBody(w, r, &h) {
		reply, err := s.Heartbeat(r.Context(), h)
		writeWorkerReply(w, reply, err)
	}
}

func (s workerServer) handleSettle(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decodeBody(w, r, &c) {
		report, err := s.Settle(r.Context(), c.Fence, c.Attempt)
		writeWorkerReply(w, report, err)
	}
}

func (s workerServer) handleStop(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decodeBody(w, r, &c) {
		writeWorkerReply(w, struct{}{}, s.Stop(r.Context(), c.Fence, c.Attempt))
	}
}

func (s workerServer) handleCheckpoint(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decodeBody(w, r, &c) {
		name, err := s.Checkpoint(r.Context(), c.Fence, c.Attempt)
		writeWorkerReply(w, httpworker.CheckpointReply{Name: name}, err)
	}
}

func (s workerServer) handleThrottle(w http.ResponseWriter, r *http.Request) {
	var c httpworker.Command
	if decodeBody(w, r, &c) {
		writeWorkerReply(w, struct{}{}, s.Throttle(r.Context(), c.Fence, c.Attempt, c.Percent))
	}
}

// handleRun runs a direct request. For a truncated answer it sends the declared length
// and a part of the body, and then aborts the connection.
func (s workerServer) handleRun(w http.ResponseWriter, r *http.Request) {
	start, err := httpworker.DecodeStart(r.Header.Get(httpworker.HeaderStart))
	if err != nil {
		httpjson.WriteError(w, &httpjson.StatusError{Status: http.StatusBadRequest, Code: "bad_request", Message: err.Error()})
		return
	}
	answer, err := s.Execute(r.Context(), start, r.Body)
	if err != nil {
		writeWorkerReply(w, nil, err)
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

func (s workerServer) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, s.Get())
}

func (s workerServer) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	replaceFaults(w, r, &s.Faults)
}

func (s workerServer) handleRecord(w http.ResponseWriter, _ *http.Request) {
	httpjson.WriteJSON(w, s.AttemptRecords())
}

func (s workerServer) handleRestart(w http.ResponseWriter, _ *http.Request) {
	s.Restart()
	httpjson.WriteJSON(w, struct{}{})
}

func (s workerServer) handleLeaving(w http.ResponseWriter, r *http.Request) {
	var leaving bool
	if decodeBody(w, r, &leaving) {
		s.SetLeaving(leaving)
		httpjson.WriteJSON(w, leaving)
	}
}

// writeWorkerReply writes v or err. For an ambiguous error it aborts the connection, so
// that the client gets no reply.
func writeWorkerReply(w http.ResponseWriter, v any, err error) {
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
