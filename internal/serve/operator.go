package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/configsync"
	"cuminloft/internal/strictjson"
)

const (
	// defaultApplyWait is how long an apply waits for acceptance if the request names
	// no time.
	defaultApplyWait = 30 * time.Second
	// historyPage is the number of versions in a history reply.
	historyPage = 100
	// tableRetryAfter is the retry delay in replies while the table is unavailable.
	tableRetryAfter = 2 * time.Second
)

// operator implements door.Operator for a process.
type operator struct {
	process *Process
}

// Apply implements door.Operator.
func (o *operator) Apply(ctx context.Context, r api.ApplyRequest) (api.ApplyReply, error) {
	cfg, err := config.Parse("config", []byte(r.Config))
	if err != nil {
		return invalidConfigReply(err)
	}
	wait := time.Duration(r.Wait)
	if wait <= 0 {
		wait = defaultApplyWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	result, err := o.process.sync.Apply(ctx, configsync.ApplyRequest{
		Base:   config.Version(r.Base),
		Config: cfg,
		Author: r.Operator,
		DryRun: r.CheckOnly,
		Used:   o.process.teamUsage(),
	}, nil)
	if err != nil {
		return api.ApplyReply{}, unavailable(err)
	}
	return applyReply(result), nil
}

// invalidConfigReply returns the reply to an apply whose configuration is invalid, with
// the problems found.
func invalidConfigReply(err error) (api.ApplyReply, error) {
	var invalid *strictjson.Error
	if !errors.As(err, &invalid) {
		return api.ApplyReply{}, unavailable(err)
	}
	return api.ApplyReply{State: api.ApplyRefused, Problems: problems(invalid.Problems)}, nil
}

func problems(found []strictjson.Problem) []api.Problem {
	list := make([]api.Problem, len(found))
	for i, p := range found {
		list[i] = api.Problem{Path: p.Path, Message: p.Message, Remedy: p.Remedy}
	}
	return list
}

// applyReply converts the result of an apply to its API form.
func applyReply(r configsync.Result) api.ApplyReply {
	reply := api.ApplyReply{Version: int64(r.Version), Problems: problems(r.Problems)}
	switch r.State {
	case configsync.StateAccepted:
		reply.State = api.ApplyAccepted
	case configsync.StateStaged:
		reply.State = api.ApplyStaged
	case configsync.StateDryRun:
		reply.State = api.ApplyChecked
	case configsync.StateRefused:
		reply.State = api.ApplyRefused
	}
	for _, w := range r.Waiting {
		reply.Waiting = append(reply.Waiting, pendingShardLine(w))
	}
	for _, c := range r.Changes {
		reply.Diff = append(reply.Diff, c.String())
	}
	if r.State == configsync.StateDryRun && r.Effect != nil {
		reply.Diff = append(reply.Diff, effectLines(r.Effect)...)
	}
	if r.Conflict != nil {
		reply.State = api.ApplyConflict
		reply.Version = int64(r.Conflict.Accepted.Version)
		reply.Diff = conflictLines(r.Conflict)
	}
	return reply
}

// effectLines describes the effects of a configuration change: capacity in service,
// revoked keys, and teams that lose share or exceed a limit.
func effectLines(e *config.Effect) []string {
	var lines []string
	if e.CapacityBefore != e.CapacityAfter {
		lines = append(lines, fmt.Sprintf("effect: room in service: %s -> %s", e.CapacityBefore, e.CapacityAfter))
	}
	for _, k := range e.RevokedKeys {
		lines = append(lines, fmt.Sprintf("effect: key %s of team %s stops working", k.ID, k.Team))
	}
	for _, t := range e.Teams {
		lines = append(lines, teamEffectLines(t)...)
	}
	return lines
}

func teamEffectLines(t config.TeamEffect) []string {
	var lines []string
	if t.Removed {
		lines = append(lines, fmt.Sprintf("effect: team %s is removed", t.Team))
	}
	if t.ShareAfter < t.ShareBefore {
		lines = append(lines, fmt.Sprintf("effect: team %s: share when full %.1f%% -> %.1f%%", t.Team, 100*t.ShareBefore, 100*t.ShareAfter))
	}
	if !t.OverLimit.IsZero() {
		lines = append(lines, fmt.Sprintf("effect: team %s runs %s over the new limit", t.Team, t.OverLimit))
	}
	return lines
}

// pendingShardLine describes in one line a shard that has not confirmed a staged version.
func pendingShardLine(w configsync.PendingShard) string {
	line := "shard " + w.Shard + " in " + w.AZ
	if w.Owner != "" {
		line += " (owner " + w.Owner + ")"
	}
	return line + ": " + w.Reason
}

// conflictLines describes a conflict with a version applied in the meantime: the error,
// then the changes of that version.
func conflictLines(c *configsync.ConflictError) []string {
	lines := []string{c.Error()}
	for _, change := range c.Changes {
		lines = append(lines, change.String())
	}
	return lines
}

// unavailable returns the error for an operator's request that failed because the table
// cannot be reached.
func unavailable(err error) *api.Error {
	return &api.Error{
		Code:         api.CodeUnavailable,
		Message:      trace.UserMessage(err),
		Remedy:       "ask again; `config history` tells whether an apply took effect",
		RetryAfterMS: tableRetryAfter.Milliseconds(),
		Status:       http.StatusServiceUnavailable,
	}
}

// Config implements door.Operator.
func (o *operator) Config(ctx context.Context, version int64) (api.ConfigReply, error) {
	_, accepted := o.process.sync.Accepted()
	if version == 0 {
		version = int64(accepted)
	}
	if version == 0 {
		return api.ConfigReply{State: versionState(0, accepted)}, nil
	}
	cfg, err := o.version(ctx, version)
	if err != nil {
		return api.ConfigReply{}, err
	}
	text, err := encodeConfig(cfg)
	if err != nil {
		return api.ConfigReply{}, err
	}
	return api.ConfigReply{Version: version, State: versionState(config.Version(version), accepted), Config: text}, nil
}

// version returns one version of the configuration: the accepted one from memory, others
// from the table.
func (o *operator) version(ctx context.Context, version int64) (*config.Config, error) {
	if cfg, accepted := o.process.sync.Accepted(); cfg != nil && int64(accepted) == version {
		return cfg, nil
	}
	record, err := o.process.sync.Version(ctx, config.Version(version))
	if err != nil {
		return nil, unavailable(err)
	}
	return record.Config()
}

// versionState returns the state of version v, given the accepted version.
func versionState(v, accepted config.Version) string {
	switch {
	case v == 0:
		return "none"
	case v == accepted:
		return "accepted"
	case v > accepted:
		return "staged"
	}
	return "superseded"
}

// History implements door.Operator.
func (o *operator) History(ctx context.Context) (api.HistoryReply, error) {
	_, accepted := o.process.sync.Accepted()
	heads, err := o.process.sync.History(ctx, max(accepted-historyPage, 0), historyPage+1)
	if err != nil {
		return api.HistoryReply{}, unavailable(err)
	}
	var reply api.HistoryReply
	for _, h := range slices.Backward(heads) {
		reply.Versions = append(reply.Versions, api.HistoryEntry{
			Version:  int64(h.Version),
			Base:     int64(h.Base),
			State:    versionState(h.Version, accepted),
			Operator: h.Author,
			Applied:  h.Time,
		})
	}
	return reply, nil
}

// Diff implements door.Operator.
func (o *operator) Diff(ctx context.Context, from, to int64) (api.DiffReply, error) {
	if to == 0 {
		_, accepted := o.process.sync.Accepted()
		to = int64(accepted)
	}
	before, err := o.version(ctx, from)
	if err != nil {
		return api.DiffReply{}, err
	}
	after, err := o.version(ctx, to)
	if err != nil {
		return api.DiffReply{}, err
	}
	reply := api.DiffReply{From: from, To: to}
	for _, c := range config.Diff(before, after) {
		reply.Lines = append(reply.Lines, c.String())
	}
	return reply, nil
}

// Status implements door.Operator.
func (o *operator) Status(ctx context.Context) (api.StatusReply, error) {
	return o.process.cellStatus(ctx), nil
}

// Timeline implements door.Operator.
func (o *operator) Timeline(ctx context.Context, q api.TimelineQuery) (api.TimelineReply, error) {
	return o.process.cellTimeline(ctx, q), nil
}

// Ready implements door.Operator.
func (o *operator) Ready() error {
	if state := o.process.state.Load().(State); state != StateServing {
		return errors.New("this entry host is " + string(state))
	}
	if cfg, _ := o.process.sync.Effective(); cfg == nil {
		return errors.New("no configuration was read yet")
	}
	return nil
}

// encodeConfig returns a configuration as indented JSON, the form that operators edit.
func encodeConfig(c *config.Config) (string, error) {
	text, err := json.MarshalIndent(c, "", "  ")
	return string(text), err
}
