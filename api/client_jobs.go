package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// jobPollTimeout is the duration of one long poll of WaitJob.
const jobPollTimeout = 30 * time.Second

// Submit submits a job. If it returns no error, the job is stored durably.
func (c *Client) Submit(ctx context.Context, s Submission) (Accepted, error) {
	var out Accepted
	body, err := json.Marshal(s)
	if err != nil {
		return out, err
	}
	err = c.decode(ctx, &call{method: http.MethodPost, path: "/v1/jobs", header: jsonHeader(), body: body}, &out)
	return out, err
}

// Job returns the state of a job, with the reasons for it if explain is true.
func (c *Client) Job(ctx context.Context, id string, explain bool) (Job, error) {
	return c.job(ctx, id, url.Values{"explain": {strconv.FormatBool(explain)}})
}

// WaitJob waits until the job has ended or ctx ends. It calls progress, which may be nil,
// with each state that a poll returns.
func (c *Client) WaitJob(ctx context.Context, id string, progress func(Job)) (Job, error) {
	for {
		j, err := c.job(ctx, id, url.Values{"wait": {jobPollTimeout.String()}})
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

// Cancel cancels a job and returns its state.
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
