package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"gatetack/drmaa2"
)

// templateFlags fill a job template.
func templateFlags(cmd *cobra.Command, t *drmaa2.Template, file, payload *string, start, deadline *string) {
	f := cmd.Flags()
	f.StringVarP(file, "file", "f", "", "a job template as JSON or YAML; flags go before it")
	f.StringVar(&t.JobCategory, "category", "", "the class")
	f.StringVar(&t.AccountingID, "account", "", "the tenant")
	f.StringVar(&t.JobName, "name", "", "a name for people")
	f.StringVar(&t.RemoteCommand, "command", "", "the path, which begins with the class")
	f.StringArrayVar(&t.Args, "arg", nil, "an argument; may be repeated")
	f.StringVar(payload, "payload", "", "the body; @FILE reads it, @- from standard input")
	f.BoolVar(&t.SubmitAsHold, "hold", false, "wait until it is released")
	f.IntVar(&t.Priority, "priority", 0, "order among this session's jobs that wait; higher goes first")
	f.StringVar(start, "start", "", "not before: a time (RFC 3339), or a span from now such as 5m")
	f.StringVar(deadline, "deadline", "", "when to give up, likewise")
	f.IntVar(&t.MinSlots, "slots", 0, "slots on one executor")
	f.StringVar(&t.IdempotencyKey, "key", "", "a submission under a key that was used gives the first job back")
}

func moment(flag, text string) (*time.Time, error) {
	if text == "" {
		return nil, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		at := time.Now().Add(d)
		return &at, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return nil, usageError{fmt.Errorf("--%s: %q is neither a time nor a span", flag, text)}
	}
	return &at, nil
}

// fill completes a template by a file and by flags that stand for more than their text.
func fill(cmd *cobra.Command, t *drmaa2.Template, file, payload, start, deadline string) error {
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		flags := *t
		d := yaml.NewDecoder(strings.NewReader(string(data))) // JSON is YAML
		d.KnownFields(true)
		*t = drmaa2.Template{}
		if err := d.Decode(t); err != nil {
			return usageError{fmt.Errorf("%s: %w", file, err)}
		}
		for name, set := range map[string]func(){"category": func() { t.JobCategory = flags.JobCategory },
			"account": func() { t.AccountingID = flags.AccountingID }, "name": func() { t.JobName = flags.JobName },
			"command": func() { t.RemoteCommand = flags.RemoteCommand }, "arg": func() { t.Args = flags.Args },
			"hold": func() { t.SubmitAsHold = flags.SubmitAsHold }, "priority": func() { t.Priority = flags.Priority },
			"slots": func() { t.MinSlots = flags.MinSlots }, "key": func() { t.IdempotencyKey = flags.IdempotencyKey }} {
			if cmd.Flags().Changed(name) {
				set()
			}
		}
	}
	if name, ok := strings.CutPrefix(payload, "@"); ok {
		var data []byte
		var err error
		if name == "-" {
			data, err = io.ReadAll(cmd.InOrStdin())
		} else {
			data, err = os.ReadFile(name)
		}
		if err != nil {
			return err
		}
		t.Payload = string(data)
	} else if payload != "" {
		t.Payload = payload
	}
	at, err := moment("start", start)
	if err != nil {
		return err
	}
	if at != nil {
		t.StartTime = at
	}
	if at, err = moment("deadline", deadline); err != nil {
		return err
	}
	if at != nil {
		t.DeadlineTime = at
	}
	return nil
}

func (r *remote) submit() *cobra.Command {
	var t drmaa2.Template
	var file, payload, start, deadline string
	var wait bool
	cmd := &cobra.Command{Use: "submit", Short: "submit a job", Args: noArgs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			if err := fill(cmd, &t, file, payload, start, deadline); err != nil {
				return err
			}
			info, _, err := c.RunJob(ctx, t)
			if err != nil {
				return err
			}
			if wait {
				if info, err = c.Wait(ctx, false, info.JobID); err != nil {
					return err
				}
			}
			if err := r.jobs(cmd.OutOrStdout(), info); err != nil {
				return err
			}
			if wait && info.JobState != "DONE" {
				return &failedJob{info}
			}
			return nil
		})}
	templateFlags(cmd, &t, &file, &payload, &start, &deadline)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait for its end")
	return cmd
}

func (r *remote) bulk() *cobra.Command {
	var b drmaa2.Bulk
	var file, payload, start, deadline string
	var wait bool
	cmd := &cobra.Command{Use: "bulk", Short: "submit a job array; $PARAMETRIC_INDEX in its command, args and payload is a member's index", Args: noArgs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			if err := fill(cmd, &b.JobTemplate, file, payload, start, deadline); err != nil {
				return err
			}
			a, err := c.RunBulkJobs(ctx, b)
			for err == nil && wait && !a.Over() {
				progress(cmd, &a)
				select {
				case <-time.After(250 * time.Millisecond):
				case <-ctx.Done():
					return ctx.Err()
				}
				a, err = c.JobArray(ctx, a.JobArrayID)
			}
			if err != nil {
				return err
			}
			progress(cmd, &a)
			if err := r.array(cmd.OutOrStdout(), a); err != nil {
				return err
			}
			if wait && a.Failed > 0 {
				return &failedJob{drmaa2.JobInfo{JobID: a.JobArrayID, JobState: a.JobState, Annotation: fmt.Sprintf("%d of %d members failed", a.Failed, a.Jobs)}}
			}
			return nil
		})}
	templateFlags(cmd, &b.JobTemplate, &file, &payload, &start, &deadline)
	cmd.Flags().IntVar(&b.BeginIndex, "begin", 1, "the first index")
	cmd.Flags().IntVar(&b.EndIndex, "end", 0, "the last index")
	cmd.Flags().IntVar(&b.Step, "step", 1, "between indices")
	cmd.Flags().IntVar(&b.MaxParallel, "max-parallel", 0, "members that may be out at a time; 0: any number")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait for the end of all")
	return cmd
}

// progress draws a bar on a terminal, and nothing elsewhere. A bar that can not be drawn does not fail the command.
func progress(cmd *cobra.Command, a *drmaa2.JobArray) {
	f, ok := cmd.ErrOrStderr().(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) || a.Jobs == 0 {
		return
	}
	const width = 40
	done := (a.Done + a.Failed) * width / a.Jobs
	_, _ = fmt.Fprintf(f, "\r[%s%s] %d of %d, %d failed", strings.Repeat("#", done), strings.Repeat(".", width-done), a.Done+a.Failed, a.Jobs, a.Failed)
	if a.Over() {
		_, _ = fmt.Fprintln(f)
	}
}

func (r *remote) array(w io.Writer, a drmaa2.JobArray) error {
	n := strconv.Itoa
	return r.print(w, a, []string{"ARRAY", "STATE", "CATEGORY", "JOBS", "NEXT", "DONE", "FAILED", "PARALLEL"},
		[][]string{{a.JobArrayID, a.JobState, a.JobCategory, n(a.Jobs), n(a.NextIndex), n(a.Done), n(a.Failed), n(a.MaxParallel)}})
}
