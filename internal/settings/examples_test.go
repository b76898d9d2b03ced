package settings

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/config"
)

// The example settings are valid, name an AZ of their cell, and have distinct addresses.
func TestExamplesFitTheirCells(t *testing.T) {
	for _, cell := range []string{"holunderhof", "himali"} {
		t.Run(cell, func(t *testing.T) {
			is := is.New(t)
			cfg, err := config.ParseFiles(filepath.Join("../../examples", cell))
			is.NoErr(err)
			files, err := filepath.Glob(filepath.Join("../../examples/settings", cell, "*.hujson"))
			is.NoErr(err)
			is.Equal(len(files), 8)
			seen := map[string]bool{}
			for _, file := range files {
				s, err := Load(file)
				is.NoErr(err)
				_, ok := cfg.AZ(s.AZ)
				is.True(ok)
				for _, addr := range []string{s.Listen, s.RPCListen} {
					is.True(!seen[addr])
					seen[addr] = true
				}
			}
		})
	}
}
