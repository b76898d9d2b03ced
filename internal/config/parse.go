package config

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// Parse reads one file of JSON with comments. Unknown fields are refused. The
// name only appears in errors.
func Parse(name string, data []byte) (*Config, error) {
	std, err := hujson.Standardize(data)
	if err != nil {
		return nil, trace.Wrap(err, "%s", name)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	c := new(Config)
	if err := dec.Decode(c); err != nil {
		return nil, trace.Wrap(err, "%s", name)
	}
	return c, nil
}
