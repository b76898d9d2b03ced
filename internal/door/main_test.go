package door

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that the verdict is the same in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("6")
	}
	os.Exit(m.Run())
}
