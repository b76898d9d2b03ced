// Package httpworker is the workers' HTTP and JSON adapter: the only package that
// knows the workers' wire format.
package httpworker

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"cuminloft/internal/httpjson"
	"cuminloft/internal/model"
	"cuminloft/internal/worker"
)

// Paths of a worker's commands. All are POST.
const (
	PathFence      = "/v1/fence"
	PathStart      = "/v1/start"
	PathRun        = "/v1/run"
	PathHeartbeat  = "/v1/heartbeat"
	PathSettle     = "/v1/settle"
	PathStop       = "/v1/stop"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
)

// Headers of PathRun.
const (
	HeaderStart   = "Worker-Start"   // worker.Start as base64 of JSON
	HeaderAttempt = "Worker-Attempt" // attempt of the answer: job/index#number
	HeaderOutcome = "Worker-Outcome" // model.OutcomeDone or model.OutcomeFailed
)

// CodeUnreachable is the error code of a command that did not reach the worker.
const CodeUnreachable = "unreachable"

// Command is the body of commands to one attempt and of PathFence.
type Command struct {
	Fence   worker.Fence   `json:"fence"`
	Attempt worker.Attempt `json:"attempt"`
	Percent int            `json:"percent,omitempty"` // PathThrottle
}

// CheckpointReply is the response of PathCheckpoint.
type CheckpointReply struct {
	Name string `json:"name"`
}

// errorsByCode maps the codes of a worker's error responses to errors.
var errorsByCode = map[string]error{
	"fenced":        worker.ErrFenced,
	"window_passed": worker.ErrWindowPassed,
	"no_room":       worker.ErrInsufficientCapacity,
	"duplicate":     worker.ErrDuplicate,
	"voided":        worker.ErrVoided,
	"leaving":       worker.ErrLeaving,
	"unknown_task":  worker.ErrUnknownTask,
	CodeUnreachable: worker.ErrUnreachable,
}

// NewError returns the error response for err, or nil if the command may have taken
// effect.
func NewError(err error) *httpjson.StatusError {
	for code, refusal := range errorsByCode {
		if !errors.Is(err, refusal) {
			continue
		}
		status := http.StatusConflict
		if code == CodeUnreachable {
			status = http.StatusServiceUnavailable
		}
		return &httpjson.StatusError{Status: status, Code: code, Message: err.Error()}
	}
	return nil
}

// EncodeStart returns the value of HeaderStart. The payload is left out, since the
// request's body contains it.
func EncodeStart(s worker.Start) (string, error) {
	s.Payload = nil
	data, err := json.Marshal(s)
	if err != nil {
		return "", err
	}
	return base64.StdEncoding.EncodeToString(data), nil
}

// DecodeStart is the inverse of EncodeStart.
func DecodeStart(header string) (worker.Start, error) {
	var s worker.Start
	data, err := base64.StdEncoding.DecodeString(header)
	if err != nil {
		return s, fmt.Errorf("header %s: %w", HeaderStart, err)
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("header %s: %w", HeaderStart, err)
	}
	return s, nil
}

// FormatAttempt returns the value of HeaderAttempt.
func FormatAttempt(a worker.Attempt) string {
	return a.Task.String() + "#" + strconv.Itoa(a.Number)
}

// ParseAttempt is the inverse of FormatAttempt.
func ParseAttempt(s string) (worker.Attempt, error) {
	i := strings.LastIndexByte(s, '#')
	if i < 0 {
		return worker.Attempt{}, fmt.Errorf("attempt %q: want job/index#number", s)
	}
	task, err := model.ParseTaskID(s[:i])
	if err != nil {
		return worker.Attempt{}, err
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil {
		return worker.Attempt{}, fmt.Errorf("attempt %q: %w", s, err)
	}
	return worker.Attempt{Task: task, Number: n}, nil
}
