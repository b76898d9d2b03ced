package decide

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
)

func TestMaxMinSharesAreWeighted(t *testing.T) {
	tests := []struct {
		name    string
		demands []demand
		total   float64
		want    []float64
	}{
		{"equal weights", []demand{{9, 1}, {9, 1}}, 4, []float64{2, 2}},
		{"weights", []demand{{9, 3}, {9, 1}}, 4, []float64{3, 1}},
		{"unused share goes to the others", []demand{{1, 1}, {9, 1}, {9, 2}}, 7, []float64{1, 2, 4}},
		{"enough for all", []demand{{1, 1}, {2, 5}}, 9, []float64{1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(maxMinShares(tt.demands, tt.total), tt.want)
		})
	}
}

// TestRunIsReproducible checks that two runs with the same options give the same
// report.
func TestRunIsReproducible(t *testing.T) {
	for _, user := range []string{"holunderhof", "himali"} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			o := Options{Size: "today", User: user, Load: 1.2, Duration: 2 * time.Minute, Seed: 3, Faults: true}
			var texts [2]bytes.Buffer
			for i := range texts {
				r, err := Run(o)
				is.NoErr(err)
				is.NoErr(r.JSON(&texts[i]))
			}
			if diff := cmp.Diff(texts[0].String(), texts[1].String()); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// TestDirectRequestWaitBounds checks the waits of the core alone: at 90% load direct
// requests wait less than 50 ms at the 99th percentile, and urgent ones start within
// 1.4 s, also when the cell is full.
func TestDirectRequestWaitBounds(t *testing.T) {
	for _, user := range []string{"holunderhof", "himali"} {
		for _, load := range []float64{0.9, 1.3} {
			is := is.New(t)
			r, err := Run(Options{Size: "today", User: user, Load: load, Duration: 4 * time.Minute, Seed: 5})
			is.NoErr(err)
			for _, w := range r.Results[0].Waits {
				switch w.Class {
				case "slip", "proof":
					if load <= 0.9 && w.P99 >= 50*time.Millisecond {
						t.Errorf("%s, load %.1f: %s waits %v at p99", user, load, w.Class, w.P99)
					}
				case "urgent slip", "urgent proof":
					if w.Worst >= 1400*time.Millisecond {
						t.Errorf("%s, load %.1f: %s waits %v at worst", user, load, w.Class, w.Worst)
					}
				}
			}
		}
	}
}

func TestUnknownOptionsAreRefused(t *testing.T) {
	is := is.New(t)
	_, err := Run(Options{Size: "huge", User: "himali"})
	is.True(err != nil)
	_, err = Run(Options{Size: "today", User: "nobody"})
	is.True(err != nil)
}
