package httpworker

import (
	"testing"

	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// FuzzHeaders checks that the attempt and start headers are rejected, or are decoded to
// a value that encodes and decodes to itself.
func FuzzHeaders(f *testing.F) {
	start, err := EncodeStart(worker.Start{Attempt: worker.Attempt{Task: model.TaskID{Job: "a", Index: 1}, Number: 2}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("job/1#2", start)
	f.Add("a/b/0#-1", "e30=")
	f.Add("#", "")
	f.Fuzz(func(t *testing.T, attempt, start string) {
		if a, err := ParseAttempt(attempt); err == nil {
			if again, err := ParseAttempt(FormatAttempt(a)); err != nil || again != a {
				t.Fatalf("%+v, then %+v, %v", a, again, err)
			}
		}
		if s, err := DecodeStart(start); err == nil {
			header, err := EncodeStart(s)
			if err != nil {
				t.Fatal(err)
			}
			if again, err := DecodeStart(header); err != nil || again.Attempt != s.Attempt || again.Resources != s.Resources {
				t.Fatalf("%+v, then %+v, %v", s, again, err)
			}
		}
	})
}
