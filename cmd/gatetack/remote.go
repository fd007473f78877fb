package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"gatetack/drmaa2"
)

// remote is what all commands that speak to a batch front share.
type remote struct {
	addr, session, output, keys string
	timeout                     time.Duration
}

func (r *remote) flags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&r.addr, "addr", "127.0.0.1:8480", "where the node's batch front listens")
	cmd.PersistentFlags().StringVar(&r.keys, "keys", "", "a folder of keys, where the batch front has them")
	cmd.PersistentFlags().StringVar(&r.session, "session", "", "the job session; empty for the default one")
	cmd.PersistentFlags().StringVarP(&r.output, "output", "o", "table", "table, json or yaml")
	cmd.PersistentFlags().DurationVar(&r.timeout, "timeout", 0, "give up after so long; 0: never")
}

func (r *remote) client(cmd *cobra.Command) (*drmaa2.Client, context.Context, context.CancelFunc, error) {
	if r.output != "table" && r.output != "json" && r.output != "yaml" {
		return nil, nil, nil, usageError{fmt.Errorf("--output: %q is none of table, json and yaml", r.output)}
	}
	ctx, cancel := cmd.Context(), context.CancelFunc(func() {})
	if r.timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, r.timeout)
	}
	c := drmaa2.New(r.addr, r.session)
	ring, err := ringOf(r.keys)
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	if ring != nil {
		c.WithTLS(ring.Client())
	}
	return c, ctx, cancel, nil
}

// run makes a command's function of one that has a client.
func (r *remote) run(do func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		c, ctx, cancel, err := r.client(cmd)
		if err != nil {
			return err
		}
		defer cancel()
		defer c.Close()
		return do(ctx, c, cmd, args)
	}
}

// print writes a value as --output says: rows of a table, or the value itself.
func (r *remote) print(w io.Writer, v any, head []string, rows [][]string) error {
	switch r.output {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "yaml":
		return yaml.NewEncoder(w).Encode(v)
	}
	table := newTable(w)
	table.println(strings.Join(head, "\t"))
	for _, row := range rows {
		table.println(strings.Join(row, "\t"))
	}
	return table.flush()
}

// failedJob ends a command whose job did.
type failedJob struct{ drmaa2.JobInfo }

func (f *failedJob) Error() string {
	return fmt.Sprintf("job %s: %s %s %s", f.JobID, f.JobState, f.JobSubState, f.Annotation)
}

// exitCode tells what a command's failure comes to.
func exitCode(err error) int {
	var usage usageError
	var job *failedJob
	var e *drmaa2.Error
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &job) && job.JobState == "UNDETERMINED":
		return exitUnknown
	case errors.As(err, &job):
		return exitJob
	case errors.As(err, &e) && (e.Code == "TRY_LATER" || e.Code == "TIMEOUT"), errors.Is(err, context.DeadlineExceeded):
		return exitLater
	case errors.As(err, &e):
		return exitRefused
	}
	return exitFailed
}
