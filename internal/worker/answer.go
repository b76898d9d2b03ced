package worker

import (
	"fmt"
	"io"
)

// CheckAnswer returns a with a body that fails with ErrTruncated unless it is
// exactly as long as declared. An answer to another attempt than want is closed
// and refused with ErrForeignAnswer.
func CheckAnswer(a *Answer, want Attempt) (*Answer, error) {
	if a.Attempt != want {
		_ = a.Body.Close()
		return nil, fmt.Errorf("want attempt %d of %s, got attempt %d of %s: %w",
			want.Number, want.Task, a.Attempt.Number, a.Attempt.Task, ErrForeignAnswer)
	}
	checked := *a
	checked.Body = &wholeBody{body: a.Body, left: a.Length}
	return &checked, nil
}

// wholeBody turns an end of file that comes too soon or too late into
// ErrTruncated.
type wholeBody struct {
	body io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, fmt.Errorf("answer is longer than declared: %w", ErrTruncated)
	}
	if err != nil && b.left > 0 {
		return n, fmt.Errorf("%w: %d bytes are missing: %w", ErrTruncated, b.left, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *wholeBody) Close() error { return b.body.Close() }
