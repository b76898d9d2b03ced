// Package httpplatform is the platform's HTTP and JSON adapter: the only package
// that knows the platform's wire format.
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

// Query parameters.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamLimit  = "limit"
	ParamName   = "name"
)

// Codes of error responses.
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

// ApplyReply is the response of PathApply.
type ApplyReply struct {
	Versions []int64 `json:"versions"`
}

// RangeReply is the response of PathRange.
type RangeReply struct {
	Rows []platform.Row `json:"rows"`
}

// ListReply is the response of PathObjects without a name.
type ListReply struct {
	Names []string `json:"names"`
}

// HostsReply is the response of PathHosts.
type HostsReply struct {
	Hosts []platform.Host `json:"hosts"`
}

// Statuses maps error codes to HTTP status codes.
var Statuses = map[string]int{
	CodeConflict:    http.StatusConflict,
	CodeNotFound:    http.StatusNotFound,
	CodeUnavailable: http.StatusServiceUnavailable,
	CodeBadRequest:  http.StatusBadRequest,
}

// NewError returns the error response with a code.
func NewError(code, key, message string) *httpjson.StatusError {
	return &httpjson.StatusError{Status: Statuses[code], Code: code, Key: key, Message: message}
}
