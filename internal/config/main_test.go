package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("5"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
