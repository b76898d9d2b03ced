package door

import (
	"flag"
	"os"
	"testing"
)

// setUnset sets a flag unless the command line has changed it from its default.
func setUnset(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}

// TestMain sets a fixed seed for rapid, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	setUnset("rapid.seed", "6")
	setUnset("rapid.checks", "500")
	os.Exit(m.Run())
}
