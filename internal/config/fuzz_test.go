package config

import (
	"errors"
	"testing"
)

// FuzzDecode checks that Decode returns either a configuration or ErrCorrupt for any body
// and digest.
func FuzzDecode(f *testing.F) {
	body, digest, err := Encode(&Config{Cell: "c"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body, digest)
	f.Add(body[:len(body)/2], digest)
	f.Fuzz(func(t *testing.T, body []byte, digest string) {
		c, err := Decode(body, digest)
		if (err == nil) != (c != nil) || (err != nil && !errors.Is(err, ErrCorrupt)) {
			t.Fatalf("config %v, error %v", c, err)
		}
	})
}
