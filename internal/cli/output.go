package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"cuminloft/api"
	"cuminloft/internal/strictjson"
)

// Exit codes of the command line; docs/OPERATING.md lists them.
const (
	ExitOK          = 0
	ExitError       = 1 // any other error
	ExitUsage       = 2 // the command line or a file is invalid
	ExitNotRun      = 3 // refused; nothing ran; the message says when to retry
	ExitFailed      = 4 // the task ran and reported an error
	ExitUnknown     = 5 // may have run; the outcome cannot be determined
	ExitConflict    = 6 // another operator's change won
	ExitStaged      = 7 // staged, not yet in force everywhere
	ExitUnreachable = 8 // no entry host answered
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// withCode returns err with an exit code; nil if err is nil.
func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// exitCode returns the exit code of a command's error.
func exitCode(err error) int {
	var own *exitError
	var problems *strictjson.Error
	var refused *api.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &own):
		return own.code
	case errors.As(err, &problems):
		return ExitUsage
	case errors.As(err, &refused):
		return outcomeCode(refused)
	}
	return ExitError
}

// outcomeCode returns the exit code of an error that an entry host returned.
func outcomeCode(e *api.Error) int {
	switch e.Outcome {
	case api.OutcomeNotRun:
		return ExitNotRun
	case api.OutcomeFailed:
		return ExitFailed
	case api.OutcomeUnknown:
		return ExitUnknown
	}
	if e.Code == api.CodeConflict {
		return ExitConflict
	}
	return ExitError
}

// printer writes results as text or JSON.
type printer struct {
	out  io.Writer
	json bool
}

// value writes v as indented JSON, or calls text for the text form.
func (p *printer) value(v any, text func(w io.Writer)) error {
	if !p.json {
		text(p.out)
		return nil
	}
	enc := json.NewEncoder(p.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table writes a header and rows in aligned columns.
func table(w io.Writer, header string, rows [][]any) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, header)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(tw, "\t")
			}
			_, _ = fmt.Fprint(tw, cell)
		}
		_, _ = fmt.Fprintln(tw)
	}
	_ = tw.Flush()
}
