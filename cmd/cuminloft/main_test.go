package main

import (
	"context"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rogpeppe/go-internal/testscript"

	"cuminloft/internal/cli"
	"cuminloft/internal/dev"
	"cuminloft/internal/standin"
)

// startLimit is the required maximum time until "cuminloft dev" is ready.
const startLimit = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cuminloft": func() { os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestSessions runs each script of command-line sessions against its own cell.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: startCell,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"masked":   masked,
			"platform": setPlatform,
		},
	})
}

// platformKey is the key of the cell's platform in the values of a script.
type platformKey struct{}

// startCell starts a cell for one script and sets its address and key files in the
// environment of the script.
func startCell(env *testscript.Env) error {
	ctx, cancel := context.WithCancel(context.Background())
	platform := standin.NewPlatform()
	ready := make(chan dev.Ready, 1)
	ended := make(chan error, 1)
	go func() {
		options := dev.Options{Listen: "127.0.0.1:0", Dir: env.WorkDir, Platform: platform, Log: logr.Discard()}
		ended <- dev.Run(ctx, options, func(r dev.Ready) { ready <- r })
	}()
	env.Defer(func() {
		cancel()
		if err := <-ended; err != nil {
			env.T().Log("the cell ended: ", err)
		}
	})
	select {
	case r := <-ready:
		env.Setenv("CUMINLOFT_SERVER", r.Server)
		env.Setenv("CUMINLOFT_KEY_FILE", r.KeyFile)
		env.Setenv("OPERATOR", r.OperatorKeyFile)
		env.Setenv("USER", "operator")
	case err := <-ended:
		ended <- nil
		return err
	case <-time.After(startLimit):
		return context.DeadlineExceeded
	}
	env.Values[platformKey{}] = platform
	return nil
}

// masks replaces the parts of the output that differ between two runs of a session.
var masks = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`[0-9a-f]{32}`), "ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d`), "DATE TIME          "},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\bw[1-4]\b`), "WORKER"},
}

// masked implements the script command "masked stdout|stderr FILE", which compares the
// masked output of the last command with a file.
func masked(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: masked stdout|stderr FILE")
	}
	text := ts.ReadFile(args[0])
	for _, m := range masks {
		text = m.pattern.ReplaceAllString(text, m.with)
	}
	if want := ts.ReadFile(args[1]); text != want {
		ts.Fatalf("%s differs from %s; masked:\n%s", args[0], args[1], text)
	}
}

// setPlatform implements the script command "platform down|up", which makes the platform
// unavailable or available.
func setPlatform(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 || (args[0] != "down" && args[0] != "up") {
		ts.Fatalf("usage: platform down|up")
	}
	p := ts.Value(platformKey{}).(*standin.Platform)
	faults := standin.FaultSet{Down: args[0] == "down"}
	p.Table.Set(faults)
	p.Objects.Set(faults)
}
