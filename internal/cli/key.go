package cli

import (
	"crypto/rand"
	"fmt"
	"io"
	"os"

	"cuminloft/internal/config"
)

type keyCommand struct {
	New keyNewCommand `cmd:"" help:"Make a key: the secret goes to a file, its hash into the configuration."`
}

type keyNewCommand struct {
	ID   string `arg:"" help:"Public name of the key, for the configuration."`
	File string `arg:"" type:"path" help:"File for the secret; it must not exist."`
}

// secretMode lets only the file's owner read a secret.
const secretMode = 0o600

// Run creates a key and prints its entry for the configuration.
func (c *keyNewCommand) Run(s *session) error {
	secret := rand.Text()
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretMode)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	if _, err := f.WriteString(secret + "\n"); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	key := config.Key{ID: c.ID, SHA256: config.HashKey(secret)}
	return s.printer().value(key, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "{\"id\": %q, \"sha256\": %q},\n", key.ID, key.SHA256)
	})
}
