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

// answer is an attempt's own answer. Head is its checked beginning; rest is nil
// if head is all of it.
type answer struct {
	attempt *attempt
	failed  bool
	length  int64
	head    []byte
	rest    io.ReadCloser
	cancel  context.CancelFunc // ends the attempt's connection
	// released is true if the owner was told of the end already.
	released bool
	// repeated is true for the stored answer of an earlier request.
	repeated bool
}

// readAnswer reads the beginning of an answer, and all of a small one, before
// the caller gets a status: what is cut up to here can still be settled.
func (d *Frontend) readAnswer(req *request, a *attempt, got *worker.Answer, cancel context.CancelFunc) (*answer, error) {
	if got.Length < 0 {
		_ = got.Body.Close()
		return nil, d.truncatedAnswer(req, a, errors.New("no declared length"))
	}
	ans := &answer{attempt: a, failed: got.Failed, length: got.Length, cancel: cancel}
	ans.head = make([]byte, min(got.Length, d.limits.BufferedAnswer))
	if _, err := io.ReadFull(got.Body, ans.head); err != nil {
		_ = got.Body.Close()
		return nil, d.truncatedAnswer(req, a, err)
	}
	if got.Length > int64(len(ans.head)) {
		ans.rest = got.Body
		return ans, nil
	}
	defer cancel()
	defer func() { _ = got.Body.Close() }()
	if err := requireEOF(got.Body); err != nil {
		return nil, d.truncatedAnswer(req, a, err)
	}
	return ans, nil
}

func (d *Frontend) truncatedAnswer(req *request, a *attempt, err error) error {
	countTruncated.Add(1)
	d.record(req, timeline.KindAnswerDropped, a.ticket.GetWorker(), "not whole")
	return fmt.Errorf("%w: %w", worker.ErrTruncated, err)
}

// requireEOF reports an answer that is longer than declared.
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

// status is the HTTP status of the outcome.
func (a *answer) status() int {
	if a.failed {
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// deliver sends an answer to the caller, if it still waits. A large answer that breaks off on the
// way cuts the connection, so that the caller sees that it is not whole.
func (d *Frontend) deliver(ctx context.Context, w http.ResponseWriter, req *request, ans *answer) {
	if ctx.Err() != nil && ans.rest == nil {
		countLate.Add(1)
		d.record(req, timeline.KindAnswerDropped, ans.attempt.ticket.GetWorker(), "caller is gone")
		d.completeRequest(req, ans)
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
		d.completeRequest(req, ans)
		w.WriteHeader(ans.status())
		_, _ = w.Write(ans.head)
		return
	}
	defer ans.cancel()
	defer func() { _ = ans.rest.Close() }()
	w.WriteHeader(ans.status())
	if err := d.stream(w, ans); err != nil {
		d.handleCutAnswer(req, ans, err)
		panic(http.ErrAbortHandler)
	}
	d.completeRequest(req, ans)
}

// stream copies a large answer piece by piece; the caller's speed holds the
// worker back, within the time limit for each piece.
func (d *Frontend) stream(w http.ResponseWriter, ans *answer) error {
	out := &progressWriter{out: w, control: http.NewResponseController(w), timeout: d.limits.ProgressTimeout}
	n, err := io.Copy(onlyWriter{out}, io.MultiReader(bytes.NewReader(ans.head), ans.rest))
	if err == nil && n != ans.length {
		err = worker.ErrTruncated
	}
	return err
}

// completeRequest tells the owner that the attempt has ended with its answer.
func (d *Frontend) completeRequest(req *request, ans *answer) {
	if !ans.released {
		d.releaseEnded(req, ans.attempt, endOfOutcome(ans.outcome()))
	}
	if ans.failed {
		countFailed.Add(1)
	} else {
		countDone.Add(1)
	}
	d.completeIdem(req, ans)
	d.recordEnd(req, ans.attempt.ticket.GetWorker(), string(ans.outcome()))
}

// handleCutAnswer ends an attempt whose answer could not be passed on whole.
func (d *Frontend) handleCutAnswer(req *request, ans *answer, err error) {
	countCut.Add(1)
	if errors.Is(err, worker.ErrTruncated) {
		countTruncated.Add(1)
	}
	ans.cancel()
	d.recordEnd(req, ans.attempt.ticket.GetWorker(), "cut: "+err.Error())
	d.background(func(ctx context.Context) {
		end := d.settleAndRelease(ctx, req, ans.attempt)
		d.closeIdem(ctx, req, end.err)
	})
}

// onlyWriter hides the ReadFrom of a connection, which would skip the deadlines.
type onlyWriter struct{ io.Writer }

// progressWriter gives the caller a time limit to take each piece.
type progressWriter struct {
	out     io.Writer
	control *http.ResponseController
	timeout time.Duration
}

// Write extends the connection's write deadline and writes.
func (w *progressWriter) Write(p []byte) (int, error) {
	// Connections of tests may not support deadlines; theirs are unbounded.
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.out.Write(p)
}
