package dev

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestKeyDirectoryIsCreated checks that the directory for the key files is created if
// it does not exist.
func TestKeyDirectoryIsCreated(t *testing.T) {
	is := is.New(t)
	k, err := writeKeys(Options{Dir: filepath.Join(t.TempDir(), "a", "keys")})
	is.NoErr(err)
	for _, path := range []string{k.ready.KeyFile, k.ready.OperatorKeyFile} {
		info, err := os.Stat(path)
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(fileMode))
	}
}
