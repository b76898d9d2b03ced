package cell

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file record.txt of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	last  string
	same  int
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Add adds a line, with the seconds since the start of the case. Lines that repeat the last
// one are counted only.
func (r *Record) Add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if text == r.last {
		r.same++
		return
	}
	r.flush()
	r.last = text
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), text) // a record that cannot be written ends nothing
}

func (r *Record) flush() {
	if r.same > 0 {
		_, _ = fmt.Fprintf(r.file, "         the same %d times more\n", r.same)
		r.same = 0
	}
}

// Close writes the counts that are left and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flush()
	_ = r.file.Close()
}
