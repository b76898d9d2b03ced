package cli

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hostSettings are those of a host on free ports whose store does not answer.
const hostSettings = `{
  "host": "entry-1", "az": "a", "callers_listen": "127.0.0.1:0", "readiness_listen": "127.0.0.1:0",
  "rpc_listen": "127.0.0.1:0", "store": "127.0.0.1:1", "grace_s": 2,
}`

// hostGrace is the grace period in hostSettings.
const hostGrace = 2 * time.Second

// A host is told to stop while it reads the command line. Guards against a SIGTERM that
// arrives before the host catches signals itself and is lost.
func TestEntryIsToldToStopBeforeItServes(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.hujson")
	is.NoErr(os.WriteFile(path, []byte(hostSettings), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- (&entryCommand{Settings: path}).Run(&session{ctx: ctx, stdout: io.Discard, stderr: io.Discard})
	}()
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(hostGrace):
		t.Errorf("the host has not ended %v after it was told to", hostGrace)
	}
}
