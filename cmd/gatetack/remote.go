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

// Formats of --output.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// remote has the flags of all commands that call a batch front.
type remote struct {
	address string
	session string
	format  string // output format
	keysDir string
	timeout time.Duration // 0: none
}

// addFlags adds the flags for the connection and the output to a command.
func (r *remote) addFlags(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&r.address, "addr", "127.0.0.1:8480", "where the node's batch front listens")
	flags.StringVar(&r.keysDir, "keys", "", "a folder of keys, where the batch front has them")
	flags.StringVar(&r.session, "session", "", "the job session; empty for the default one")
	flags.StringVarP(&r.format, "output", "o", formatTable, "table, json or yaml")
	flags.DurationVar(&r.timeout, "timeout", 0, "give up after so long; 0: never")
}

// newClient returns a client of the batch front that the flags select.
func (r *remote) newClient() (*drmaa2.Client, error) {
	client := drmaa2.New(r.address, r.session)
	ring, err := clientKeys(r.keysDir)
	if err != nil {
		return nil, err
	}
	if ring != nil {
		client.WithTLS(ring.Client())
	}
	return client, nil
}

// clientCommand is the body of a command that uses a client of the batch front.
type clientCommand func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, args []string) error

// run returns the RunE function of a command that calls the batch front. It opens the client and applies the timeout.
func (r *remote) run(do clientCommand) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if r.format != formatTable && r.format != formatJSON && r.format != formatYAML {
			return usageError{fmt.Errorf("--output: %q is none of table, json and yaml", r.format)}
		}
		ctx := cmd.Context()
		if r.timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, r.timeout)
			defer cancel()
		}
		client, err := r.newClient()
		if err != nil {
			return err
		}
		defer client.Close()
		return do(ctx, client, cmd, args)
	}
}

// print writes the rows as a table or the value v as JSON or YAML, according to the output format.
func (r *remote) print(w io.Writer, v any, head []string, rows [][]string) error {
	switch r.format {
	case formatJSON:
		return writeJSON(w, v)
	case formatYAML:
		return yaml.NewEncoder(w).Encode(v)
	}
	table := newTable(w)
	table.println(strings.Join(head, "\t"))
	for _, row := range rows {
		table.println(strings.Join(row, "\t"))
	}
	return table.flush()
}

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// failedJob is the error of a command whose job failed.
type failedJob struct{ drmaa2.JobInfo }

// Error returns the id of the job and how it ended.
func (f *failedJob) Error() string {
	return fmt.Sprintf("job %s: %s %s %s", f.JobID, f.JobState, f.JobSubState, f.Annotation)
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	if _, ok := errors.AsType[usageError](err); ok {
		return exitUsage
	}
	if job, ok := errors.AsType[*failedJob](err); ok {
		if job.JobState == drmaa2.StateUndetermined {
			return exitUnknown
		}
		return exitJob
	}
	rejection, rejected := errors.AsType[*drmaa2.Error](err)
	switch {
	case rejected && rejection.Code == drmaa2.CodeOutcomeUnknown:
		return exitUnknown
	case rejected && (rejection.Code == "TRY_LATER" || rejection.Code == "TIMEOUT"),
		errors.Is(err, context.DeadlineExceeded):
		return exitRetryLater
	case rejected:
		return exitRejected
	}
	return exitFailed
}
