package configsync

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/config"
)

// Keys of the table's rows. The accepted and the staged row sort before all
// versions, so that one read of two rows returns both.
const (
	rowPrefix     = "config/"
	acceptedKey   = "config/accepted"
	stagedKey     = "config/staged"
	versionPrefix = "config/v/"
)

// ErrCorrupt is returned if a row cannot be decoded.
var ErrCorrupt = errors.New("configuration row is corrupt")

// VersionInfo describes one version. It is the value of the rows of the accepted and
// the staged version, and the first line of a version's own row.
type VersionInfo struct {
	Version config.Version `json:"version"`
	Base    config.Version `json:"base"` // accepted version that it replaces
	Author  string         `json:"author"`
	Time    time.Time      `json:"time"`   // of staging, on the clock of the stager
	Nonce   string         `json:"nonce"`  // of the writer, to settle lost answers
	Digest  string         `json:"digest"` // of the configuration
}

// Record is a stored version.
type Record struct {
	VersionInfo
	Body []byte // stored form of the configuration; see config.Encode
}

// Config decodes the record's configuration.
func (r Record) Config() (*config.Config, error) {
	c, err := config.Decode(r.Body, r.Digest)
	if err != nil {
		return nil, trace.Wrap(ErrCorrupt, "version %d: %v", r.Version, err)
	}
	return c, nil
}

func versionKey(v config.Version) string { return fmt.Sprintf("%s%012d", versionPrefix, v) }

func encodeHead(h VersionInfo) ([]byte, error) {
	value, err := json.Marshal(h)
	return value, trace.Wrap(err)
}

func decodeHead(key string, value []byte) (VersionInfo, error) {
	var h VersionInfo
	if err := json.Unmarshal(value, &h); err != nil {
		return VersionInfo{}, trace.Wrap(ErrCorrupt, "row %s: %v", key, err)
	}
	return h, nil
}

// encodeRecord returns the head as one line of JSON and the body after it.
func encodeRecord(r Record) ([]byte, error) {
	value, err := encodeHead(r.VersionInfo)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	value = append(value, '\n')
	return append(value, r.Body...), nil
}

func decodeRecord(key string, value []byte) (Record, error) {
	line, body, ok := bytes.Cut(value, []byte{'\n'})
	if !ok {
		return Record{}, trace.Wrap(ErrCorrupt, "row %s has no body", key)
	}
	h, err := decodeHead(key, line)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	return Record{VersionInfo: h, Body: body}, nil
}
