// Package httpplatform is the platform's HTTP and JSON adapter: the only place
// that knows the platform's wire shapes.
package httpplatform

import (
	"net/http"

	"cuminloft/internal/httpjson"
	"cuminloft/internal/platform"
)

// Paths of the platform's services.
const (
	PathApply   = "/table/apply"
	PathRow     = "/table/row"
	PathRange   = "/table/range"
	PathObjects = "/objects"
	PathHosts   = "/hosts"
)

// Parameters of the paths' queries.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamLimit  = "limit"
	ParamName   = "name"
)

// Codes of error answers.
const (
	CodeConflict    = "conflict"
	CodeNotFound    = "not_found"
	CodeUnavailable = "unavailable"
	CodeBadRequest  = "bad_request"
)

// ApplyRequest is the body of PathApply.
type ApplyRequest struct {
	Writes []platform.Write `json:"writes"`
}

// ApplyReply is the answer of PathApply.
type ApplyReply struct {
	Versions []int64 `json:"versions"`
}

// RangeReply is the answer of PathRange.
type RangeReply struct {
	Rows []platform.Row `json:"rows"`
}

// ListReply is the answer of PathObjects without a name.
type ListReply struct {
	Names []string `json:"names"`
}

// HostsReply is the answer of PathHosts.
type HostsReply struct {
	Hosts []platform.Host `json:"hosts"`
}

// Statuses maps the codes to HTTP statuses.
var Statuses = map[string]int{
	CodeConflict:    http.StatusConflict,
	CodeNotFound:    http.StatusNotFound,
	CodeUnavailable: http.StatusServiceUnavailable,
	CodeBadRequest:  http.StatusBadRequest,
}

// NewError returns the error answer with a code.
func NewError(code, key, message string) *httpjson.StatusError {
	return &httpjson.StatusError{Status: Statuses[code], Code: code, Key: key, Message: message}
}
