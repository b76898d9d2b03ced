package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

// ErrCorrupt is returned if a stored configuration cannot be decoded.
var ErrCorrupt = errors.New("stored configuration is corrupt")

// Encode returns the stored form of c, gzipped JSON, and the SHA-256 of the JSON.
func Encode(c *Config) (body []byte, digest string, err error) {
	plain, err := json.Marshal(c)
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if _, err := zip.Write(plain); err != nil {
		return nil, "", trace.Wrap(err)
	}
	if err := zip.Close(); err != nil {
		return nil, "", trace.Wrap(err)
	}
	return buf.Bytes(), digestOf(plain), nil
}

// Decode is the inverse of Encode. It returns ErrCorrupt if the body cannot be decoded or
// does not match the digest. Unknown fields, which later releases may write, are ignored.
func Decode(body []byte, digest string) (*Config, error) {
	plain, err := gunzip(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if got := digestOf(plain); got != digest {
		return nil, fmt.Errorf("%w: digest is %s, not %s", ErrCorrupt, got, digest)
	}
	c := new(Config)
	if err := json.Unmarshal(plain, c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return c.withIndex(), nil
}

// gunzip decompresses body. It returns an error if the result exceeds MaxFileBytes.
func gunzip(body []byte) ([]byte, error) {
	zip, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	plain, err := io.ReadAll(io.LimitReader(zip, MaxFileBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(plain) > MaxFileBytes {
		return nil, trace.LimitExceeded("unpacked configuration is larger than %d bytes", MaxFileBytes)
	}
	return plain, nil
}

func digestOf(plain []byte) string {
	sum := sha256.Sum256(plain)
	return hex.EncodeToString(sum[:])
}

// Clone returns a deep copy of c without an index. The copy may be changed.
func (c *Config) Clone() *Config {
	plain, err := json.Marshal(c)
	if err != nil {
		panic(err) // the types always marshal
	}
	copied := new(Config)
	if err := json.Unmarshal(plain, copied); err != nil {
		panic(err)
	}
	return copied
}

// Equal reports whether c and o have the same content.
func (c *Config) Equal(o *Config) bool {
	if c == nil || o == nil {
		return c == o
	}
	a, errA := json.Marshal(c)
	b, errB := json.Marshal(o)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}
