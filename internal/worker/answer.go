package worker

import (
	"fmt"
	"io"
)

// CheckAnswer returns a copy of a whose body fails with ErrTruncated unless it has the
// declared length. If a answers another attempt than want, its body is closed and
// CheckAnswer returns ErrForeignAnswer.
func CheckAnswer(a *Answer, want Attempt) (*Answer, error) {
	if a.Attempt != want {
		_ = a.Body.Close()
		return nil, fmt.Errorf("want attempt %d of %s, got attempt %d of %s: %w",
			want.Number, want.Task, a.Attempt.Number, a.Attempt.Task, ErrForeignAnswer)
	}
	checked := *a
	checked.Body = &lengthCheckedBody{body: a.Body, remaining: a.Length}
	return &checked, nil
}

// lengthCheckedBody is a body that returns ErrTruncated if it does not have the declared
// length.
type lengthCheckedBody struct {
	body      io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (b *lengthCheckedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, fmt.Errorf("answer is longer than declared: %w", ErrTruncated)
	}
	if err != nil && b.remaining > 0 {
		return n, fmt.Errorf("%w: %d bytes are missing: %w", ErrTruncated, b.remaining, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *lengthCheckedBody) Close() error { return b.body.Close() }
