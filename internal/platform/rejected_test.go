package platform

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// Guards against a log full of rows that another writer rewrites again and again.
func TestRejectedRowsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var lines []string
	r := NewRejectedRows(funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}))
	for range 300 {
		for i := range maxRejectedLines + 10 {
			r.Add(PartitionRow{Table: "t", Key: fmt.Sprint("k", i)}, errors.New(strings.Repeat("x", 60_000)))
		}
	}
	is.Equal(len(lines), maxRejectedLines)
	is.True(len(lines[0]) < 2*maxRejectedCause)
	is.Equal(r.Counts(), map[string]int64{"t": 300 * (maxRejectedLines + 10)})
	is.True(!r.count(rowName{"t", "k0"}, time.Now()))
	is.True(r.count(rowName{"t", "k0"}, time.Now().Add(rejectedLogInterval+time.Second)))
}
