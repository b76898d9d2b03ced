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

// Keys of the configuration's rows. The accepted and the staged row sort before the rows
// of the versions, so that one range read of two rows returns both.
const (
	rowPrefix     = "config/"
	acceptedKey   = "config/accepted"
	stagedKey     = "config/staged"
	versionPrefix = "config/v/"
)

// ErrCorrupt is returned if a row cannot be decoded.
var ErrCorrupt = errors.New("configuration row is corrupt")

// VersionInfo describes one version. It is the value of the accepted and the staged row,
// and the first line of a version's own row.
type VersionInfo struct {
	Version config.Version `json:"version"`
	Base    config.Version `json:"base"` // accepted version that it replaces
	Author  string         `json:"author"`
	Time    time.Time      `json:"time"`   // when it was staged, by the clock of the staging host
	Nonce   string         `json:"nonce"`  // chosen by the writer; identifies its write after a lost answer
	Digest  string         `json:"digest"` // of the configuration; see config.Encode
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

func encodeInfo(info VersionInfo) ([]byte, error) {
	value, err := json.Marshal(info)
	return value, trace.Wrap(err)
}

func decodeInfo(key string, value []byte) (VersionInfo, error) {
	var info VersionInfo
	if err := json.Unmarshal(value, &info); err != nil {
		return VersionInfo{}, trace.Wrap(ErrCorrupt, "row %s: %v", key, err)
	}
	return info, nil
}

// encodeRecord returns the VersionInfo as one line of JSON, followed by the body.
func encodeRecord(r Record) ([]byte, error) {
	value, err := encodeInfo(r.VersionInfo)
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
	info, err := decodeInfo(key, line)
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	return Record{VersionInfo: info, Body: body}, nil
}
