package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// faultyOutput is a log output that takes whole writes, parts of writes, or none, and
// that may be slow.
type faultyOutput struct {
	mu      sync.Mutex
	written bytes.Buffer
	take    func(size int) int // how many bytes of a write it takes; nil: all
	delay   time.Duration
}

var errOutput = errors.New("output takes no more")

func (o *faultyOutput) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	time.Sleep(o.delay)
	n := len(p)
	if o.take != nil {
		n = min(n, o.take(n))
	}
	o.written.Write(p[:n])
	if n < len(p) {
		return n, errOutput
	}
	return n, nil
}

func (o *faultyOutput) set(take func(int) int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.take = take
}

// readLog checks that the output holds whole JSON lines only. It returns the numbers of
// the test's lines and the sum of the reported drops.
func readLog(t *testing.T, o *faultyOutput) (numbers []int, dropped int) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, line := range bytes.Split(bytes.TrimSuffix(o.written.Bytes(), []byte("\n")), []byte("\n")) {
		var entry struct{ N, Count *int }
		if err := json.Unmarshal(line, &entry); err != nil {
			t.Fatalf("broken line %q: %v", line, err)
		}
		if entry.Count != nil {
			dropped += *entry.Count
		} else {
			numbers = append(numbers, *entry.N)
		}
	}
	return numbers, dropped
}

// TestLogLinesAreWholeOrCounted guards against log lines that are cut in the middle, and
// against a log that stays silent after one failed write.
func TestLogLinesAreWholeOrCounted(t *testing.T) {
	const lines = 3000
	calls := 0
	outputs := map[string]func(size int) int{
		"working":           nil,
		"short":             func(size int) int { calls++; return size - calls%3*7 },
		"failing at times":  func(size int) int { calls++; return size * (calls % 4 / 2) },
		"a byte at a time":  func(int) int { return 1 },
		"failing in series": func(size int) int { calls++; return size * (calls / 5 % 2) },
	}
	for name, take := range outputs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			calls = 0
			out := &faultyOutput{take: take}
			w := newLogWriter(out)
			for i := range lines {
				_, err := fmt.Fprintf(w, `{"n":%d,"text":%q}`+"\n", i, bytes.Repeat([]byte("x"), i%400))
				is.NoErr(err)
				if i%50 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			for len(w.lines) > 0 {
				time.Sleep(time.Millisecond)
			}
			out.set(nil) // the output works again
			_, err := fmt.Fprintf(w, `{"n":%d}`+"\n", lines)
			is.NoErr(err)
			w.close()
			<-w.done // close gives up before an output that is too slow
			numbers, dropped := readLog(t, out)
			is.Equal(numbers[len(numbers)-1], lines) // a working output is used again
			is.Equal(len(numbers)+dropped, lines+1)  // each line is written or counted
		})
	}
}

// TestSlowLogOutput guards against a slow output that delays the process.
func TestSlowLogOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &faultyOutput{delay: 20 * time.Millisecond}
		w := newLogWriter(out)
		const lines = 3 * logBacklog
		began := time.Now()
		for i := range lines {
			_, err := fmt.Fprintf(w, `{"n":%d}`+"\n", i)
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0)) // no write waits for the output
		w.close()
		<-w.done // close gives up before an output that is too slow
		numbers, dropped := readLog(t, out)
		is.True(dropped > 0)
		is.Equal(len(numbers)+dropped, lines)
	})
}

// Goroutines may log while the process ends. Guards against a panic of a process that is
// told to stop while the store does not answer: its own row could not be removed, which was
// logged after the log had been closed.
func TestLogLineAfterTheLogIsClosed(t *testing.T) {
	is := is.New(t)
	w := newLogWriter(&faultyOutput{})
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for i := range 200 {
				_, _ = fmt.Fprintf(w, `{"n":%d}`+"\n", i) // never fails
			}
		})
	}
	w.close()
	writers.Wait()
	_, err := fmt.Fprintln(w, `{"n":0}`)
	is.NoErr(err)
}

// blockedOutput takes nothing until it is closed.
type blockedOutput chan struct{}

func (o blockedOutput) Write(p []byte) (int, error) {
	<-o
	return len(p), nil
}

// Guards against a process that does not end within its grace period because nobody reads
// its log.
func TestLogIsClosedWhileItsOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := make(blockedOutput)
		defer close(out)
		w := newLogWriter(out)
		_, err := fmt.Fprintln(w, `{"n":0}`)
		is.NoErr(err)
		began := time.Now()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			w.close()
		}()
		select {
		case <-closed:
		case <-time.After(time.Minute):
			t.Error("the log is not closed")
		}
		is.True(time.Since(began) < drainMargin/2) // the servers' shutdown takes the rest
	})
}
