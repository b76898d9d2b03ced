package entry

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// logBacklog is the number of buffered lines above which further lines are dropped
	// and counted.
	logBacklog = 4096
	// maxLogWrite is the size in bytes of one write of several lines. A pipe takes writes
	// up to this size (PIPE_BUF) whole, so that a killed process leaves no partial line.
	maxLogWrite = 4096
	// logCloseTimeout bounds the wait for the output when the process ends. With the time
	// that the servers take to shut down it is shorter than drainMargin.
	logCloseTimeout = drainMargin / 4
)

// logWriter writes log lines in the background, so that a slow log output never delays
// a decision. A line is either written whole or dropped and counted. The writer goes on
// after a failed write, since the output may work again.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{} // closed when the writer is to stop
	done    chan struct{} // closed when the writer has stopped
	// partial is the rest of a line of which the output took only the beginning.
	partial []byte
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logBacklog), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
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

func (w *logWriter) run() {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			if batch = w.add(batch, line); len(w.lines) == 0 {
				w.write(batch)
				batch = batch[:0]
				w.reportDropped()
			}
		case <-w.closing:
			for range len(w.lines) {
				batch = w.add(batch, <-w.lines)
			}
			w.write(batch)
			w.reportDropped()
			return
		}
	}
}

// add adds a line to the batch; it writes the batch first if the line does not fit.
func (w *logWriter) add(batch, line []byte) []byte {
	if len(batch)+len(line) > maxLogWrite {
		w.write(batch)
		batch = batch[:0]
	}
	return append(batch, line...)
}

// reportDropped writes how many lines were dropped, if any.
func (w *logWriter) reportDropped() {
	n := w.dropped.Swap(0)
	if n == 0 {
		return
	}
	if w.write(fmt.Appendf(nil, `{"msg":"log lines dropped","count":%d}`+"\n", n)) > 0 {
		w.dropped.Add(n - 1) // write has counted the line itself
	}
}

// write writes whole lines and returns how many of them the output did not take. These
// are counted as dropped. The rest of a line that the output took in part is written
// before the next lines.
func (w *logWriter) write(lines []byte) (lost int) {
	rest := slices.Concat(w.partial, lines)
	if len(rest) == 0 {
		return 0
	}
	n, err := w.out.Write(rest)
	w.partial = nil
	if err == nil && n >= len(rest) {
		return 0
	}
	cut := n > 0 && rest[n-1] != '\n' || n == 0 && len(rest) > len(lines)
	rest = rest[n:]
	if cut {
		end := bytes.IndexByte(rest, '\n') + 1
		w.partial = bytes.Clone(rest[:end])
		rest = rest[end:]
	}
	lost = bytes.Count(rest, []byte{'\n'})
	w.dropped.Add(int64(lost))
	return lost
}

// close writes the queued lines and stops the writer. It gives up after logCloseTimeout,
// since the output may take no more lines. Goroutines that outlive the process's run may
// go on calling Write; their lines are lost.
func (w *logWriter) close() {
	close(w.closing)
	timer := time.NewTimer(logCloseTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
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
