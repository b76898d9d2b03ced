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

// clientFlags are the flags of all client commands. Keys come from files or the
// environment, never from the command line, which other users of the machine can read.
type clientFlags struct {
	Server   []string `short:"s" env:"CUMINLOFT_SERVER" sep:"," placeholder:"HOST:PORT" help:"Entry hosts to talk to; the first that answers is used."`
	KeyFile  string   `env:"CUMINLOFT_KEY_FILE" placeholder:"FILE" help:"File with the key; else the key is in CUMINLOFT_KEY."`
	Settings string   `name:"client-settings" env:"CUMINLOFT_CLIENT_SETTINGS" placeholder:"FILE" help:"Client settings file (default: ${settings_default})."`
	Output   string   `short:"o" enum:"text,json" default:"text" help:"Format of results: ${enum}."`
}

// clientSettings is the content of the client settings file.
type clientSettings struct {
	Servers []string `json:"servers"`
	KeyFile string   `json:"key_file"`
}

// client returns an API client with the servers and the key from flags, environment and
// settings file, in this order of precedence.
func (s *session) client() (*api.Client, error) {
	fileSettings, err := s.flags.load()
	if err != nil {
		return nil, withCode(ExitUsage, err)
	}
	servers := s.flags.Server
	if len(servers) == 0 {
		servers = fileSettings.Servers
	}
	if len(servers) == 0 {
		servers = []string{defaultServer}
	}
	key, err := s.flags.key(fileSettings)
	if err != nil {
		return nil, withCode(ExitUsage, err)
	}
	client, err := api.NewClient(servers, key)
	return client, withCode(ExitUsage, err)
}

// load reads the client settings file. If no file is named and the default file does not
// exist, the settings are empty.
func (f *clientFlags) load() (clientSettings, error) {
	var fileSettings clientSettings
	path := f.Settings
	if path == "" {
		path = defaultSettingsPath()
	}
	if path == "" {
		return fileSettings, nil
	}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && f.Settings == "" {
		return fileSettings, nil
	}
	if err != nil {
		return fileSettings, fmt.Errorf("client settings: %w", err)
	}
	_, err = strictjson.Decode(path, data, &fileSettings)
	return fileSettings, err
}

func defaultSettingsPath() string {
	dir, err := os.UserConfigDir()
	if err != nil {
		return ""
	}
	return filepath.Join(dir, "cuminloft", "client.hujson")
}

// key returns the API key; empty if none is given, which open queues accept.
func (f *clientFlags) key(fileSettings clientSettings) (string, error) {
	path := f.KeyFile
	if path == "" {
		if key := os.Getenv("CUMINLOFT_KEY"); key != "" {
			return key, nil
		}
		path = fileSettings.KeyFile
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
