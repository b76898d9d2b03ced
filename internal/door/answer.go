package door

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cuminloft/api"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// answer is the answer of an attempt. head is its beginning, which has been read; rest is
// nil if head is the complete answer.
type answer struct {
	attempt *attempt
	failed  bool
	length  int64
	head    []byte
	rest    io.ReadCloser
	cancel  context.CancelFunc // ends the attempt's connection
	// released means that the end was already reported to the owner.
	released bool
	// repeated means that this is the stored answer of an earlier request.
	repeated bool
}

// readAnswer reads the beginning of an answer, or all of a small one, before the status is
// sent to the caller. The outcome of an answer that breaks off here can still be settled.
func (f *Frontend) readAnswer(req *request, a *attempt, got *worker.Answer, cancel context.CancelFunc) (*answer, error) {
	if got.Length < 0 {
		_ = got.Body.Close()
		return nil, f.truncatedAnswer(req, a, errors.New("answer has no declared length"))
	}
	ans := &answer{attempt: a, failed: got.Failed, length: got.Length, cancel: cancel}
	ans.head = make([]byte, min(got.Length, f.limits.BufferedAnswer))
	if _, err := io.ReadFull(got.Body, ans.head); err != nil {
		_ = got.Body.Close()
		return nil, f.truncatedAnswer(req, a, err)
	}
	if got.Length > int64(len(ans.head)) {
		ans.rest = got.Body
		return ans, nil
	}
	defer cancel()
	defer func() { _ = got.Body.Close() }()
	if err := requireEOF(got.Body); err != nil {
		return nil, f.truncatedAnswer(req, a, err)
	}
	return ans, nil
}

func (f *Frontend) truncatedAnswer(req *request, a *attempt, err error) error {
	countTruncated.Add(1)
	f.record(req, timeline.KindAnswerDropped, a.ticket.GetWorker(), "not whole")
	return fmt.Errorf("%w: %w", worker.ErrTruncated, err)
}

// requireEOF returns an error if the answer is longer than declared.
func requireEOF(r io.Reader) error {
	var one [1]byte
	n, err := r.Read(one[:])
	if n > 0 {
		return errors.New("answer is longer than declared")
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

func (a *answer) outcome() api.Outcome {
	if a.failed {
		return api.OutcomeFailed
	}
	return api.OutcomeDone
}

// status returns the HTTP status for the outcome.
func (a *answer) status() int {
	if a.failed {
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// deliver sends an answer to the caller, if it is still connected. If a large answer breaks
// off, deliver aborts the connection, so that the caller can tell that it is incomplete.
func (f *Frontend) deliver(ctx context.Context, w http.ResponseWriter, req *request, ans *answer) {
	if ctx.Err() != nil && ans.rest == nil {
		countLate.Add(1)
		f.record(req, timeline.KindAnswerDropped, ans.attempt.ticket.GetWorker(), "caller is gone")
		f.completeRequest(req, ans)
		return
	}
	h := w.Header()
	h.Set(api.HeaderOutcome, string(ans.outcome()))
	h.Set(api.HeaderAttempt, strconv.Itoa(ans.attempt.id.Number))
	if ans.repeated {
		h.Set(api.HeaderRepeated, "true")
	}
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.FormatInt(ans.length, 10))
	if ans.rest == nil {
		f.completeRequest(req, ans)
		w.WriteHeader(ans.status())
		_, _ = w.Write(ans.head)
		return
	}
	defer ans.cancel()
	defer func() { _ = ans.rest.Close() }()
	w.WriteHeader(ans.status())
	if err := f.stream(w, ans); err != nil {
		f.handleCutAnswer(req, ans, err)
		panic(http.ErrAbortHandler)
	}
	f.completeRequest(req, ans)
}

// stream copies a large answer in parts. A slow caller slows the worker down, within the
// time limit for each part.
func (f *Frontend) stream(w http.ResponseWriter, ans *answer) error {
	out := &progressWriter{out: w, control: http.NewResponseController(w), timeout: f.limits.ProgressTimeout}
	n, err := io.Copy(onlyWriter{out}, io.MultiReader(bytes.NewReader(ans.head), ans.rest))
	if err == nil && n != ans.length {
		err = worker.ErrTruncated
	}
	return err
}

// completeRequest reports the end of the attempt to the owner and records the outcome.
func (f *Frontend) completeRequest(req *request, ans *answer) {
	if !ans.released {
		f.releaseEnded(req, ans.attempt, endOfOutcome(ans.outcome()))
	}
	if ans.failed {
		countFailed.Add(1)
	} else {
		countDone.Add(1)
	}
	f.completeIdem(req, ans)
	f.recordEnd(req, ans.attempt.ticket.GetWorker(), string(ans.outcome()))
}

// handleCutAnswer ends an attempt whose answer could not be delivered completely.
func (f *Frontend) handleCutAnswer(req *request, ans *answer, err error) {
	countCut.Add(1)
	if errors.Is(err, worker.ErrTruncated) {
		countTruncated.Add(1)
	}
	ans.cancel()
	f.recordEnd(req, ans.attempt.ticket.GetWorker(), "cut: "+err.Error())
	f.background(func(ctx context.Context) {
		end := f.settleAndRelease(ctx, req, ans.attempt)
		f.closeIdem(ctx, req, end.err)
	})
}

// onlyWriter hides the ReadFrom method of a connection, which would bypass the deadlines.
type onlyWriter struct{ io.Writer }

// progressWriter bounds the time in which the caller must receive each part.
type progressWriter struct {
	out     io.Writer
	control *http.ResponseController
	timeout time.Duration
}

// Write extends the connection's write deadline and writes.
func (w *progressWriter) Write(p []byte) (int, error) {
	// Connections in tests may not support deadlines and are then unbounded.
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.out.Write(p)
}
