package entry

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// logBacklog is the number of buffered lines above which further lines are dropped and
// counted.
const logBacklog = 4096

// logWriter writes log lines in the background, so that a slow log output never delays
// a decision.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logBacklog), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write queues one line. It never blocks.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run(out io.Writer) {
	defer close(w.done)
	buffered := bufio.NewWriterSize(out, 32<<10)
	for line := range w.lines {
		_, _ = buffered.Write(line) // a failure to write the log cannot be logged
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(buffered, `{"msg":"log lines dropped","count":%d}`+"\n", n)
		}
		if len(w.lines) == 0 {
			_ = buffered.Flush()
		}
	}
	_ = buffered.Flush()
}

// close writes the queued lines and stops the writer.
func (w *logWriter) close() {
	close(w.lines)
	<-w.done
}

// newLogger returns a logger that writes JSON lines.
func newLogger(w io.Writer, level string) logr.Logger {
	l := slog.LevelInfo
	switch level {
	case "debug":
		l = slog.LevelDebug
	case "error":
		l = slog.LevelError
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: l, ReplaceAttr: formatDuration}))
}

// formatDuration formats durations with their unit, rounded to microseconds.
func formatDuration(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		a.Value = slog.StringValue(a.Value.Duration().Round(time.Microsecond).String())
	}
	return a
}
