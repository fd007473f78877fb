package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mattn/go-isatty"
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
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}

var jobHead = []string{"ID", "STATE", "SUB", "CATEGORY", "ACCOUNT", "SESSION", "NAME", "SUBMITTED", "MACHINE"}

func jobRow(j *drmaa2.JobInfo) []string {
	return []string{j.JobID, j.JobState, j.JobSubState, j.JobCategory, j.AccountingID, j.SessionName, j.JobName,
		j.SubmissionTime.Local().Format(time.DateTime), strings.Join(j.AllocatedMachines, ",")}
}

func (r *remote) jobs(w io.Writer, list ...drmaa2.JobInfo) error {
	var rows [][]string
	for i := range list {
		rows = append(rows, jobRow(&list[i]))
	}
	return r.print(w, list, jobHead, rows)
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
	f.IntVar(&t.MinSlots, "slots", 0, "slots on one box")
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

func jobCommand() *cobra.Command {
	r := &remote{}
	cmd := &cobra.Command{Use: "job", Short: "submit, watch and control batch jobs"}
	r.flags(cmd)
	cmd.AddCommand(r.submit(), r.bulk(), r.list(), r.show(), r.wait(), r.watch(), r.doubt())
	for _, x := range []struct{ name, help string }{{"hold", "keep jobs back that wait at the node"},
		{"release", "let held jobs go"}, {"terminate", "end jobs of which nothing was sent to a box; one that was is not stopped"},
		{"reap", "forget jobs that have ended"}} {
		array := false
		c := &cobra.Command{Use: x.name + " ID...", Short: x.help, Args: someIDs,
			RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, args []string) error {
				var all error
				for _, id := range args {
					if err := c.Control(ctx, id, x.name, array); err != nil {
						all = errors.Join(all, fmt.Errorf("%s: %w", id, err))
					} else {
						fmt.Fprintln(cmd.OutOrStdout(), id)
					}
				}
				return all
			})}
		if x.name != "reap" {
			c.Flags().BoolVar(&array, "array", false, "the ids are of arrays")
		}
		cmd.AddCommand(c)
	}
	return cmd
}

// doubt is for jobs that may have run and of which nothing more will be told.
func (r *remote) doubt() *cobra.Command {
	cmd := &cobra.Command{Use: "doubt", Short: "list jobs that may have run, and say what became of them"}
	cmd.AddCommand(&cobra.Command{Use: "list", Short: "list jobs in doubt, of all sessions", Args: noArgs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			list := []drmaa2.JobInfo{}
			if err := c.Jobs(ctx, "state = UNDETERMINED", true, func(j drmaa2.JobInfo) bool { list = append(list, j); return true }); err != nil {
				return err
			}
			return r.jobs(cmd.OutOrStdout(), list...)
		})})
	show := r.show()
	show.Short = "tell all that is known of jobs"
	cmd.AddCommand(show)
	var x drmaa2.Resolution
	resolve := &cobra.Command{Use: "resolve ID", Short: "say what became of a job; nothing is sent again by it",
		Args: func(cmd *cobra.Command, a []string) error {
			if len(a) != 1 || x.As == "" || x.By == "" {
				return usageError{errors.New("resolve: one id, --as done, failed or unsent, and --by are expected")}
			}
			return nil
		},
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, args []string) error {
			j, err := c.Resolve(ctx, args[0], x)
			if err != nil {
				return err
			}
			return r.jobs(cmd.OutOrStdout(), j)
		})}
	resolve.Flags().StringVar(&x.As, "as", "", "done; failed: it ran, and did not end well; unsent: it never ran, and may be submitted again")
	resolve.Flags().StringVar(&x.By, "by", "", "who says so")
	resolve.Flags().StringVar(&x.Why, "why", "", "how that was found out")
	resolve.Flags().BoolVar(&x.Force, "force", false, "also that a job never ran which must never run twice")
	cmd.AddCommand(resolve)
	return cmd
}

func someIDs(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return usageError{fmt.Errorf("%s: no id given", cmd.Name())}
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

// progress draws a bar on a terminal, and nothing elsewhere.
func progress(cmd *cobra.Command, a *drmaa2.JobArray) {
	f, ok := cmd.ErrOrStderr().(*os.File)
	if !ok || !isatty.IsTerminal(f.Fd()) || a.Jobs == 0 {
		return
	}
	const width = 40
	done := (a.Done + a.Failed) * width / a.Jobs
	fmt.Fprintf(f, "\r[%s%s] %d of %d, %d failed", strings.Repeat("#", done), strings.Repeat(".", width-done), a.Done+a.Failed, a.Jobs, a.Failed)
	if a.Over() {
		fmt.Fprintln(f)
	}
}

func (r *remote) array(w io.Writer, a drmaa2.JobArray) error {
	n := strconv.Itoa
	return r.print(w, a, []string{"ARRAY", "STATE", "CATEGORY", "JOBS", "NEXT", "DONE", "FAILED", "PARALLEL"},
		[][]string{{a.JobArrayID, a.JobState, a.JobCategory, n(a.Jobs), n(a.NextIndex), n(a.Done), n(a.Failed), n(a.MaxParallel)}})
}

func (r *remote) list() *cobra.Command {
	var filter string
	var all bool
	var limit int
	cmd := &cobra.Command{Use: "list", Short: "list jobs", Args: noArgs,
		Example: `  gatetack job list --filter 'state in (QUEUED, RUNNING) and category = "area-render" and submitted > 5m ago'`,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			list := []drmaa2.JobInfo{}
			if err := c.Jobs(ctx, filter, all, func(j drmaa2.JobInfo) bool {
				list = append(list, j)
				return limit <= 0 || len(list) < limit
			}); err != nil {
				return err
			}
			return r.jobs(cmd.OutOrStdout(), list...)
		})}
	cmd.Flags().StringVar(&filter, "filter", "", "which jobs; see docs/batch.md")
	cmd.Flags().BoolVar(&all, "all", false, "those of all sessions")
	cmd.Flags().IntVar(&limit, "limit", 1000, "at most so many; 0: all")
	return cmd
}

func (r *remote) show() *cobra.Command {
	array, template := false, false
	cmd := &cobra.Command{Use: "show ID...", Short: "tell all of jobs", Args: someIDs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, args []string) error {
			var list []drmaa2.JobInfo
			for _, id := range args {
				switch {
				case array:
					a, err := c.JobArray(ctx, id)
					if err != nil {
						return err
					}
					if err := r.array(cmd.OutOrStdout(), a); err != nil {
						return err
					}
				case template:
					t, err := c.Template(ctx, id)
					if err != nil {
						return err
					}
					if err := yaml.NewEncoder(cmd.OutOrStdout()).Encode(t); err != nil {
						return err
					}
				default:
					j, err := c.Job(ctx, id)
					if err != nil {
						return err
					}
					list = append(list, j)
				}
			}
			if array || template {
				return nil
			}
			return r.jobs(cmd.OutOrStdout(), list...)
		})}
	cmd.Flags().BoolVar(&array, "array", false, "the ids are of arrays")
	cmd.Flags().BoolVar(&template, "template", false, "give the templates back")
	return cmd
}

func (r *remote) wait() *cobra.Command {
	started, any := false, false
	cmd := &cobra.Command{Use: "wait ID...", Short: "wait until jobs have ended", Args: someIDs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, args []string) error {
			var list []drmaa2.JobInfo
			var bad *failedJob
			take := func(ids ...string) error {
				j, err := c.Wait(ctx, started, ids...)
				if err != nil {
					return err
				}
				if list = append(list, j); !started && j.JobState != "DONE" && bad == nil {
					bad = &failedJob{j}
				}
				return nil
			}
			if any {
				if err := take(args...); err != nil {
					return err
				}
			} else {
				for _, id := range args {
					if err := take(id); err != nil {
						return err
					}
				}
			}
			if err := r.jobs(cmd.OutOrStdout(), list...); err != nil {
				return err
			}
			if bad != nil {
				return bad
			}
			return nil
		})}
	cmd.Flags().BoolVar(&started, "started", false, "until they have started")
	cmd.Flags().BoolVar(&any, "any", false, "until one of them has")
	return cmd
}

func (r *remote) watch() *cobra.Command {
	var after string
	cmd := &cobra.Command{Use: "watch", Short: "follow changes of jobs' states, one a line", Args: noArgs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			err := c.Events(ctx, after, func(e drmaa2.Event) error {
				if r.output == "table" {
					fmt.Fprintln(cmd.OutOrStdout(), e.Cursor, e.Time.Local().Format(time.DateTime), e.Event, e.JobID, e.JobState, e.JobSubState+e.Message)
					return nil
				}
				return json.NewEncoder(cmd.OutOrStdout()).Encode(e)
			})
			if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
				return nil // --timeout bounds a watch, and is no failure of it
			}
			return err
		})}
	cmd.Flags().StringVar(&after, "after", "", "the cursor of the last event that was seen")
	return cmd
}

func sessionCommand() *cobra.Command {
	r := &remote{}
	cmd := &cobra.Command{Use: "session", Short: "list, create and destroy job sessions"}
	r.flags(cmd)
	cmd.AddCommand(&cobra.Command{Use: "list", Short: "list job sessions", Args: noArgs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			all, err := c.Sessions(ctx)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, s := range all {
				rows = append(rows, []string{s.SessionName, s.Created.Local().Format(time.DateTime), strconv.Itoa(s.OpenInstances)})
			}
			return r.print(cmd.OutOrStdout(), all, []string{"SESSION", "CREATED", "OPEN"}, rows)
		})})
	one := func(cmd *cobra.Command, args []string) error {
		if len(args) != 1 {
			return usageError{fmt.Errorf("%s: one name is expected", cmd.Name())}
		}
		return nil
	}
	cmd.AddCommand(&cobra.Command{Use: "create NAME", Short: "make a job session", Args: one,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, args []string) error {
			s, err := c.CreateSession(ctx, args[0])
			if err != nil {
				return err
			}
			defer s.Close()
			fmt.Fprintln(cmd.OutOrStdout(), args[0])
			return s.CloseSession(ctx) // a command keeps no instance open
		})})
	cmd.AddCommand(&cobra.Command{Use: "destroy NAME", Short: "take a job session away whose jobs have ended", Args: one,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, _ *cobra.Command, args []string) error {
			return c.DestroySession(ctx, args[0])
		})})
	return cmd
}

func machineCommand() *cobra.Command {
	r := &remote{}
	cmd := &cobra.Command{Use: "machine", Short: "render boxes as the node sees them"}
	r.flags(cmd)
	var filter string
	list := &cobra.Command{Use: "list", Short: "list render boxes", Args: noArgs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			all, err := c.Machines(ctx, filter)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, m := range all {
				rows = append(rows, []string{m.Name, m.Status, m.Zone, m.Type, strconv.Itoa(m.Group), strconv.Itoa(m.Out), m.Address})
			}
			return r.print(cmd.OutOrStdout(), all, []string{"NAME", "STATUS", "ZONE", "TYPE", "RACK", "OUT", "ADDRESS"}, rows)
		})}
	list.Flags().StringVar(&filter, "filter", "", "which boxes, such as: status = ready and out > 2")
	cmd.AddCommand(list)
	return cmd
}
