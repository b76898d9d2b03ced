package cli

import (
	"errors"
	"fmt"

	"cuminloft/internal/entry"
	"cuminloft/platform"
)

// entryCommand runs an entry host of a cell on the users' platform.
type entryCommand struct {
	Settings string `type:"path" help:"Process settings, JSON with comments; default: the file that the platform names."`
	Check    bool   `help:"Check the settings and exit."`
}

// Run serves until the process receives a termination signal, then shuts down.
func (c *entryCommand) Run(s *session) error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	if path == "" {
		return withCode(ExitUsage, errors.New("no settings file: give --settings or set "+platform.SettingsVariable))
	}
	if c.Check {
		settings, err := entry.LoadSettings(path)
		if err != nil {
			return withCode(ExitUsage, err)
		}
		_, err = fmt.Fprintf(s.stdout, "valid: entry host %s in AZ %s\n", settings.Host, settings.AZ)
		return err
	}
	return entry.Run(s.ctx, path, platform.Connect, s.stdout)
}
