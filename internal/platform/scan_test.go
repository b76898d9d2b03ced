package platform

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// strictStore returns pages of a few rows, and refuses keys that no row can have.
type strictStore struct {
	rows []PartitionRow // in the order of their keys
	more bool           // claims that there are more rows, for ever
}

const strictPage = 3

func (s *strictStore) Commit(context.Context, Tx) (int64, error) { return 0, ErrRefused }

func (s *strictStore) Changes(context.Context, string, int64, time.Duration) ([]PartitionRow, int64, error) {
	return nil, 0, ErrRefused
}

func (s *strictStore) Scan(_ context.Context, _, _, from, _ string) (Page, error) {
	if len(from) > maxKeyBytes {
		return Page{}, fmt.Errorf("%w: key of %d bytes", ErrRefused, len(from))
	}
	page := Page{Version: 1, More: s.more}
	for _, r := range s.rows {
		switch {
		case r.Key < from:
		case len(page.Rows) == strictPage:
			page.More = true
		default:
			page.Rows = append(page.Rows, r)
		}
	}
	return page, nil
}

// Guards against a listing that another writer's key of the largest size brings to a stop.
func TestScanAllPassesKeysOfTheLargestSize(t *testing.T) {
	is := is.New(t)
	s := &strictStore{}
	for i := range 10 {
		s.rows = append(s.rows, PartitionRow{Key: fmt.Sprint(i, strings.Repeat("k", maxKeyBytes-1))})
	}
	s.rows = append(s.rows, PartitionRow{Key: "a"}, PartitionRow{Key: "b"})
	rows, version, err := ScanAll(t.Context(), s, "t", "")
	is.NoErr(err)
	is.Equal(version, int64(1))
	is.Equal(rows, s.rows)
	s.more = true
	rows, _, err = ScanAll(t.Context(), s, "t", "")
	is.NoErr(err)
	is.Equal(len(rows), len(s.rows))
}
