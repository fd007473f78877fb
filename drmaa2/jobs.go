package drmaa2

import (
	"context"
	"errors"
	"net/http"
	"net/url"
)

// RunJob submits a job. If the template's idempotency key was used before, again is true and info is the state of the
// earlier job.
func (c *Client) RunJob(ctx context.Context, t Template) (info JobInfo, again bool, err error) {
	status, err := c.do(ctx, http.MethodPost, c.path("jobs"), t, &info)
	return info, status == http.StatusOK, err
}

// RunBulkJobs submits an array.
func (c *Client) RunBulkJobs(ctx context.Context, b Bulk) (a JobArray, err error) {
	_, err = c.do(ctx, http.MethodPost, c.path("arrays"), b, &a)
	return a, err
}

// JobArray returns the state of an array.
func (c *Client) JobArray(ctx context.Context, id string) (a JobArray, err error) {
	_, err = c.do(ctx, http.MethodGet, c.path("arrays", id), nil, &a)
	return a, err
}

// JobCategories returns the classes.
func (c *Client) JobCategories(ctx context.Context) ([]string, error) {
	var out struct{ JobCategories []string }
	_, err := c.do(ctx, http.MethodGet, "/categories", nil, &out)
	return out.JobCategories, err
}

// Job returns the state of a job.
func (c *Client) Job(ctx context.Context, id string) (info JobInfo, err error) {
	_, err = c.do(ctx, http.MethodGet, c.path("jobs", id), nil, &info)
	return info, err
}

// Jobs calls each for the jobs that match a filter, in the order of their submission, until each returns false. With
// all, the jobs of every session are included (MonitoringSession::getAllJobs).
func (c *Client) Jobs(ctx context.Context, filter string, all bool, each func(JobInfo) bool) error {
	path := c.path("jobs")
	if all {
		path = "/monitoring/jobs"
	}
	for after := ""; ; {
		page, err := c.jobPage(ctx, path, filter, after)
		if err != nil {
			return err
		}
		for _, job := range page.Jobs {
			if !each(job) {
				return nil
			}
		}
		if after = page.Next; after == "" {
			return nil
		}
	}
}

// jobPage is one page of a list of jobs. Next is the cursor of the next page, empty for none.
type jobPage struct {
	Jobs []JobInfo
	Next string
}

// jobPageSize is the number of jobs of a page, as a query parameter.
const jobPageSize = "500"

func (c *Client) jobPage(ctx context.Context, path, filter, after string) (page jobPage, err error) {
	query := url.Values{"filter": {filter}, "limit": {jobPageSize}}
	if after != "" {
		query.Set("after", after)
	}
	_, err = c.do(ctx, http.MethodGet, path+"?"+query.Encode(), nil, &page)
	return page, err
}

// Template returns the template with which a job was submitted.
func (c *Client) Template(ctx context.Context, id string) (t Template, err error) {
	_, err = c.do(ctx, http.MethodGet, c.path("jobs", id, "template"), nil, &t)
	return t, err
}

// Control applies an action to a job or, with array, to an array: hold, release, terminate. Suspend and resume are
// rejected by every node.
func (c *Client) Control(ctx context.Context, id, action string, array bool) error {
	kind := "jobs"
	if array {
		kind = "arrays"
	}
	_, err := c.do(ctx, http.MethodPost, c.path(kind, id, action), struct{}{}, nil)
	return err
}

// Resolution is an operator's decision about a job whose outcome is indeterminate: whether it is done, failed or
// unsent, who decides, and why. Force is required to declare a job unsent that must never run twice.
type Resolution struct {
	As    string `json:"as"`
	By    string `json:"by"`
	Why   string `json:"why,omitempty"`
	Force bool   `json:"force,omitempty"`
}

// Resolve records the outcome of a job that may have run. It sends nothing to executors.
func (c *Client) Resolve(ctx context.Context, id string, r Resolution) (info JobInfo, err error) {
	_, err = c.do(ctx, http.MethodPost, c.path("jobs", id, "resolve"), r, &info)
	return info, err
}

// Reap deletes a job that has ended.
func (c *Client) Reap(ctx context.Context, id string) error { return c.Control(ctx, id, "reap", false) }

// waitPollMs is the timeout of one call of Wait.
const waitPollMs = 20000

// waitRequest is the body of a call that waits for one of several jobs.
type waitRequest struct {
	For       string   `json:"for"`
	Jobs      []string `json:"jobs"`
	TimeoutMs int      `json:"timeoutMs"`
}

// Wait waits until one of several jobs has ended or, with started, has started. It repeats the call until then, or
// until ctx ends.
func (c *Client) Wait(ctx context.Context, started bool, ids ...string) (info JobInfo, err error) {
	request := waitRequest{For: "terminated", Jobs: ids, TimeoutMs: waitPollMs}
	if started {
		request.For = "started"
	}
	for {
		_, err = c.do(ctx, http.MethodPost, c.path("jobs", "wait"), request, &info)
		if !errors.Is(err, &Error{Code: CodeTimeout}) {
			return info, err
		}
	}
}
