package api

// Code is a stable machine-readable reason of an Error.
type Code string

// Codes that the entry host itself returns. Codes of shard owners (rpc and sched refusals)
// are passed on unchanged; docs/operating/refusals.md lists all codes.
const (
	CodeInvalid        Code = "invalid_request"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNoSuchQueue    Code = "no_such_queue"
	CodeNoSuchJob      Code = "no_such_job"
	CodeWrongPolicy    Code = "wrong_policy"
	CodeTooLarge       Code = "body_too_large"
	CodeTaskTooLarge   Code = "task_larger_than_queue_allows"
	CodeOverloaded     Code = "overloaded"
	CodeDeadline       Code = "cannot_start_in_time"
	CodeNoShard        Code = "no_shard_ready"
	CodeNoWorker       Code = "no_worker_started_it"
	CodeStale          Code = "configuration_stale"
	CodeTableDown      Code = "table_unavailable"
	CodeDraining       Code = "shutting_down"
	CodeInProgress     Code = "in_progress"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeAnswerLost     Code = "answer_lost"
	CodeAnswerTooLarge Code = "answer_not_stored"
	CodeStillRunning   Code = "still_running"
	CodeUnsettled      Code = "cannot_be_settled"
	CodeTaskFailed     Code = "task_failed"
	CodeConflict       Code = "configuration_conflict"
	CodeRejected       Code = "configuration_invalid"
	CodeUnavailable    Code = "unavailable"
	CodeInternal       Code = "internal"
)
