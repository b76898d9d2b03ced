package settings

import (
	"errors"
	"testing"

	"cuminloft/internal/strictjson"
)

// FuzzParse checks that Parse either reports problems or returns settings with addresses
// and defaults, for any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"host": 1, "limits": {"max_body_bytes": 1e99}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if err != nil {
			var problems *strictjson.Error
			if !errors.As(err, &problems) || len(problems.Problems) == 0 {
				t.Fatalf("refused without a problem: %v", err)
			}
			return
		}
		if s.RPCAdvertise == "" || s.Limits.MaxConnections <= 0 || s.Budget.WritesPerSecond <= 0 {
			t.Fatalf("settings without defaults: %+v", s)
		}
	})
}
