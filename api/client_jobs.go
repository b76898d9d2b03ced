package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// pollJob is the longest long poll of WaitJob.
const pollJob = 30 * time.Second

// Submit hands in a job. When it returns without an error, the job is durable.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	var out Accepted
	body, err := json.Marshal(s)
	if err != nil {
		return out, err
	}
	err = c.decode(ctx, &call{method: http.MethodPost, path: "/v1/jobs", header: jsonHeader(), body: body}, &out)
	return out, err
}

// Job returns what is known of a job, with the reasons for its state if explain
// is true.
func (c *Client) Job(ctx context.Context, id string, explain bool) (Job, error) {
	return c.job(ctx, id, url.Values{"explain": {strconv.FormatBool(explain)}})
}

// WaitJob waits until the job has ended or the context does. It passes each
// state that it sees to progress, which may be nil.
func (c *Client) WaitJob(ctx context.Context, id string, progress func(Job)) (Job, error) {
	for {
		j, err := c.job(ctx, id, url.Values{"wait": {pollJob.String()}})
		if err != nil || j.State == JobEnded {
			return j, err
		}
		if progress != nil {
			progress(j)
		}
	}
}

func (c *Client) job(ctx context.Context, id string, query url.Values) (Job, error) {
	var out Job
	err := c.decode(ctx, &call{method: http.MethodGet, path: jobPath(id), query: query}, &out)
	return out, err
}

func jobPath(id string) string { return "/v1/jobs/" + url.PathEscape(id) }

// Cancel withdraws a job and returns its state.
func (c *Client) Cancel(ctx context.Context, id string) (Job, error) {
	var out Job
	err := c.decode(ctx, &call{method: http.MethodDelete, path: jobPath(id)}, &out)
	return out, err
}

// List returns a page of the team's jobs.
func (c *Client) List(ctx context.Context, q JobQuery) (JobList, error) {
	query := url.Values{}
	setQuery(query, "state", q.State)
	setQuery(query, "after", q.After)
	if q.Limit > 0 {
		query.Set("limit", strconv.Itoa(q.Limit))
	}
	var out JobList
	err := c.decode(ctx, &call{method: http.MethodGet, path: "/v1/jobs", query: query}, &out)
	return out, err
}

func setQuery(q url.Values, name, value string) {
	if value != "" {
		q.Set(name, value)
	}
}
