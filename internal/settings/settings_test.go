package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/strictjson"
)

const validSettings = `{
  // One entry host of the presshaus zone.
  "host": "entry-1",
  "az": "presshaus",
  "listen": "127.0.0.1:7101",
  "rpc_listen": "127.0.0.1:7201",
  "platform": "http://127.0.0.1:7000",
}`

func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("s", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.RPCAdvertise, "127.0.0.1:7201")
	is.Equal(s.Limits.MaxJobBytes, int64(DefaultMaxJobBytes))
	is.Equal(s.Log.Level, "info")
}

func TestParseReportsEveryProblem(t *testing.T) {
	cases := []struct{ name, from, to, path string }{
		{"missing host", `"host": "entry-1",`, ``, "host"},
		{"bad az", `"presshaus"`, `"Press haus"`, "az"},
		{"no port", `"127.0.0.1:7101"`, `"127.0.0.1"`, "listen"},
		{"platform without scheme", `"http://127.0.0.1:7000"`, `"127.0.0.1:7000"`, "platform"},
		{"negative limit", `"host"`, `"limits": {"max_connections": -1}, "host"`, "limits.max_connections"},
		{"name for an IP", `"host"`, `"dial_from": "entry-1", "host"`, "dial_from"},
		{"unknown level", `"host"`, `"log": {"level": "loud"}, "host"`, "log.level"},
		{"short hash", `"host"`, `"operator_keys": [{"id": "ops", "sha256": "12"}], "host"`, "operator_keys[0].sha256"},
		{"unknown field", `"host"`, `"hots": 1, "host"`, "hots"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validSettings, c.from, c.to, 1)
			is.True(text != validSettings)
			_, err := Parse("s", []byte(text))
			var all *strictjson.Error
			is.True(errors.As(err, &all))
			is.Equal(len(all.Problems), 1)
			is.Equal(all.Problems[0].Path, c.path)
		})
	}
}
