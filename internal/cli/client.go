package cli

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"cuminloft/api"
	"cuminloft/internal/strictjson"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultServer is where `cuminloft dev` listens.
const defaultServer = "127.0.0.1:7100"

// clientFlags are the flags that all client commands share. Keys come from
// files or the environment, never from the command line, which others can read.
type clientFlags struct {
	Server   []string `short:"s" env:"CUMINLOFT_SERVER" sep:"," placeholder:"HOST:PORT" help:"Entry hosts to talk to; the first that answers is used."`
	KeyFile  string   `env:"CUMINLOFT_KEY_FILE" placeholder:"FILE" help:"File with the key; else the key is in CUMINLOFT_KEY."`
	Settings string   `name:"client-settings" env:"CUMINLOFT_CLIENT_SETTINGS" placeholder:"FILE" help:"Client settings file (default: ${settings_default})."`
	Output   string   `short:"o" enum:"text,json" default:"text" help:"Format of results: ${enum}."`
}

// clientSettings are the client's settings file.
type clientSettings struct {
	Servers []string `json:"servers"`
	KeyFile string   `json:"key_file"`
}

// client returns a client from flags, environment and settings file, in this
// order of precedence.
func (s *session) client() (*api.Client, error) {
	stored, err := s.flags.load()
	if err != nil {
		return nil, withCode(ExitUsage, err)
	}
	servers := s.flags.Server
	if len(servers) == 0 {
		servers = stored.Servers
	}
	if len(servers) == 0 {
		servers = []string{defaultServer}
	}
	key, err := s.flags.key(stored)
	if err != nil {
		return nil, withCode(ExitUsage, err)
	}
	client, err := api.NewClient(servers, key)
	return client, withCode(ExitUsage, err)
}

// load reads the client settings file. A file that is not named and not there
// is the same as an empty one.
func (f *clientFlags) load() (clientSettings, error) {
	var stored clientSettings
	path := f.Settings
	if path == "" {
		path = defaultSettingsPath()
	}
	if path == "" {
		return stored, nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && f.Settings == "" {
		return stored, nil
	}
	if err != nil {
		return stored, fmt.Errorf("client settings: %w", err)
	}
	_, err = strictjson.Decode(path, data, &stored)
	return stored, err
}

func defaultSettingsPath() string {
	dir, err := os.UserConfigDir()
	if err != nil {
		return ""
	}
	return filepath.Join(dir, "cuminloft", "client.hujson")
}

// key returns the key to present; empty for open queues.
func (f *clientFlags) key(stored clientSettings) (string, error) {
	path := f.KeyFile
	if path == "" {
		if key := os.Getenv("CUMINLOFT_KEY"); key != "" {
			return key, nil
		}
		path = stored.KeyFile
	}
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("key file: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
