package workload

import (
	"testing"

	"github.com/matryer/is"
)

func TestParseTaskID(t *testing.T) {
	is := is.New(t)
	want := TaskID{StepID: StepID{Job: "5c0e7a21d94b36f8", Occurrence: 3, Step: 1}, Index: 17}
	got, err := ParseTaskID(want.String())
	is.NoErr(err)
	is.Equal(got, want)
	for _, bad := range []string{"", "a", "a.1", "a.1.2", ".1.2.3", "a.1.2.x", "a.-1.2.3", "a.1.2.3.4"} {
		_, err := ParseTaskID(bad)
		is.True(err != nil)
	}
}

func FuzzParseTaskID(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseTaskID(text)
		if err != nil {
			return
		}
		if again, err := ParseTaskID(id.String()); err != nil || again != id {
			t.Fatalf("%q reads as %v, which reads as %v, %v", text, id, again, err)
		}
	})
}
