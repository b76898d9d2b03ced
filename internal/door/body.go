package door

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"cuminloft/api"
)

// errBodyConsumed means that an earlier attempt has read a part of the body that was not
// buffered.
var errBodyConsumed = errors.New("body was consumed by an earlier attempt")

// body is the body of a caller's request. A small body is buffered completely and can be
// sent again. A larger one is streamed and can be sent again only while no attempt has
// read past the buffered beginning.
type body struct {
	buffered []byte
	rest     io.Reader // nil if buffered is the complete body

	mu       sync.Mutex
	reader   *bodyReader // of the attempt that may read
	restRead bool        // an attempt has read from rest
}

// readBody buffers the beginning of the caller's body. It runs before capacity is reserved,
// so that a slow caller does not occupy capacity of a worker.
func readBody(w http.ResponseWriter, r *http.Request, l Limits) (*body, *Error) {
	if r.ContentLength > l.MaxBody {
		return nil, bodyTooLarge()
	}
	in := &progressReader{
		in:      http.MaxBytesReader(w, r.Body, l.MaxBody),
		control: http.NewResponseController(w),
		timeout: l.ProgressTimeout,
	}
	kept, err := io.ReadAll(io.LimitReader(in, l.BufferedBody))
	if err != nil {
		return nil, bodyError(err)
	}
	if r.ContentLength == int64(len(kept)) || int64(len(kept)) < l.BufferedBody {
		return &body{buffered: kept}, nil
	}
	return &body{buffered: kept, rest: in}, nil
}

func bodyTooLarge() *Error {
	return neverSent(http.StatusRequestEntityTooLarge, api.CodeTooLarge, "the body is larger than this entry host takes")
}

func bodyError(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return bodyTooLarge()
	}
	return invalid("body", "the body ended early: "+err.Error())
}

// resendable reports whether another attempt can send the body.
func (b *body) resendable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.restRead
}

// open returns a reader of the body for one attempt. Readers of earlier attempts fail from
// then on, so that a transport that still uses one cannot consume bytes of this attempt.
func (b *body) open() (io.ReadCloser, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.restRead {
		return nil, errBodyConsumed
	}
	b.reader = &bodyReader{body: b, buffered: bytes.NewReader(b.buffered)}
	return b.reader, nil
}

// bodyReader reads a body for one attempt.
type bodyReader struct {
	body     *body
	buffered *bytes.Reader
}

// Read reads the buffered beginning and then the caller's connection.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.buffered.Len() == 0 && r.body.rest != nil {
		return r.readRest(p)
	}
	if !r.isCurrent() {
		return 0, io.ErrClosedPipe
	}
	return r.buffered.Read(p)
}

// readRest holds no lock during the read, because the caller may be slow and Close must not
// block on it.
func (r *bodyReader) readRest(p []byte) (int, error) {
	if !r.claimRest() {
		return 0, io.ErrClosedPipe
	}
	return r.body.rest.Read(p)
}

func (r *bodyReader) claimRest() bool {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.body.reader != r {
		return false
	}
	r.body.restRead = true
	return true
}

func (r *bodyReader) isCurrent() bool {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	return r.body.reader == r
}

// Close prevents further reads by this attempt.
func (r *bodyReader) Close() error {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.body.reader == r {
		r.body.reader = nil
	}
	return nil
}

// progressReader bounds the time in which the caller must send each part of a body.
type progressReader struct {
	in      io.Reader
	control *http.ResponseController
	timeout time.Duration
}

// Read extends the connection's read deadline and reads.
func (r *progressReader) Read(p []byte) (int, error) {
	// Connections in tests may not support deadlines and are then unbounded.
	_ = r.control.SetReadDeadline(time.Now().Add(r.timeout))
	return r.in.Read(p)
}
