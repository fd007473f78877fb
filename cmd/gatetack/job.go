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

// maxListedJobs is the default limit of the list command.
const maxListedJobs = 1000

var jobColumns = []string{"ID", "STATE", "SUB", "CATEGORY", "ACCOUNT", "SESSION", "NAME", "SUBMITTED", "MACHINE"}

func jobRow(job *drmaa2.JobInfo) []string {
	return []string{
		job.JobID,
		job.JobState,
		job.JobSubState,
		job.JobCategory,
		job.AccountingID,
		job.SessionName,
		job.JobName,
		job.SubmissionTime.Local().Format(time.DateTime),
		strings.Join(job.AllocatedMachines, ","),
	}
}

func (r *remote) printJobs(w io.Writer, jobs ...drmaa2.JobInfo) error {
	var rows [][]string
	for i := range jobs {
		rows = append(rows, jobRow(&jobs[i]))
	}
	return r.print(w, jobs, jobColumns, rows)
}

func jobCommand() *cobra.Command {
	r := &remote{}
	cmd := &cobra.Command{Use: "job", Short: "submit, watch and control batch jobs"}
	r.addFlags(cmd)
	cmd.AddCommand(r.submitCommand(), r.bulkCommand(), r.listJobsCommand(), r.showJobsCommand(), r.waitCommand(),
		r.watchCommand(), r.doubtCommand())
	cmd.AddCommand(r.controlCommands()...)
	return cmd
}

// controlCommands returns the commands that apply an action to jobs. Each command has the name of its action.
func (r *remote) controlCommands() []*cobra.Command {
	hold := r.controlCommand("hold", "keep jobs back that wait at the node")
	release := r.controlCommand("release", "let held jobs go")
	terminate := r.controlCommand("terminate",
		"end jobs of which nothing was sent to an executor; one that was is not stopped")
	reap := r.controlCommand("reap", "forget jobs that have ended")
	for _, cmd := range []*cobra.Command{hold, release, terminate} {
		cmd.Flags().Bool("array", false, "the ids are of arrays")
	}
	return []*cobra.Command{hold, release, terminate, reap}
}

func (r *remote) controlCommand(action, short string) *cobra.Command {
	return &cobra.Command{Use: action + " ID...", Short: short, Args: someIDs,
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, ids []string) error {
			array, _ := cmd.Flags().GetBool("array") // false if the command has no such flag
			out := &printer{writer: cmd.OutOrStdout()}
			var failures error
			for _, id := range ids {
				if err := client.Control(ctx, id, action, array); err != nil {
					failures = errors.Join(failures, fmt.Errorf("%s: %w", id, err))
					continue
				}
				out.println(id)
			}
			return errors.Join(failures, out.err)
		})}
}

// doubtCommand returns the command for jobs with an indeterminate outcome: they may have run, and the node will not
// learn more about them.
func (r *remote) doubtCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "doubt", Short: "list jobs that may have run, and say what became of them"}
	list := &cobra.Command{Use: "list", Short: "list jobs in doubt, of all sessions", Args: noArgs,
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			jobs, err := collectJobs(ctx, client, jobQuery{filter: "state = UNDETERMINED", allSessions: true})
			if err != nil {
				return err
			}
			return r.printJobs(cmd.OutOrStdout(), jobs...)
		})}
	show := r.showJobsCommand()
	show.Short = "tell all that is known of jobs"
	cmd.AddCommand(list, show, r.resolveCommand())
	return cmd
}

func (r *remote) resolveCommand() *cobra.Command {
	var resolution drmaa2.Resolution
	cmd := &cobra.Command{Use: "resolve ID", Short: "say what became of a job; nothing is sent again by it",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 1 || resolution.As == "" || resolution.By == "" {
				return usageError{errors.New("resolve: one id, --as done, failed or unsent, and --by are expected")}
			}
			return nil
		},
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, args []string) error {
			job, err := client.Resolve(ctx, args[0], resolution)
			if err != nil {
				return err
			}
			return r.printJobs(cmd.OutOrStdout(), job)
		})}
	flags := cmd.Flags()
	flags.StringVar(&resolution.As, "as", "",
		"done; failed: it ran, and did not end well; unsent: it never ran, and may be submitted again")
	flags.StringVar(&resolution.By, "by", "", "who says so")
	flags.StringVar(&resolution.Why, "why", "", "how that was found out")
	flags.BoolVar(&resolution.Force, "force", false, "also that a job never ran which must never run twice")
	return cmd
}

func someIDs(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return usageError{fmt.Errorf("%s: no id given", cmd.Name())}
	}
	return nil
}

// jobQuery selects the jobs to list.
type jobQuery struct {
	filter      string
	allSessions bool
	limit       int // 0: all
}

// collectJobs returns the jobs that match a query. The result is empty rather than nil if no job matches.
func collectJobs(ctx context.Context, client *drmaa2.Client, query jobQuery) ([]drmaa2.JobInfo, error) {
	jobs := []drmaa2.JobInfo{}
	err := client.Jobs(ctx, query.filter, query.allSessions, func(job drmaa2.JobInfo) bool {
		jobs = append(jobs, job)
		return query.limit <= 0 || len(jobs) < query.limit
	})
	return jobs, err
}

func (r *remote) listJobsCommand() *cobra.Command {
	var query jobQuery
	cmd := &cobra.Command{
		Use:   "list",
		Short: "list jobs",
		Args:  noArgs,
		Example: "  gatetack job list --filter " +
			`'state in (QUEUED, RUNNING) and category = "area-render" and submitted > 5m ago'`,
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			jobs, err := collectJobs(ctx, client, query)
			if err != nil {
				return err
			}
			return r.printJobs(cmd.OutOrStdout(), jobs...)
		}),
	}
	cmd.Flags().StringVar(&query.filter, "filter", "", "which jobs; see docs/batch.md")
	cmd.Flags().BoolVar(&query.allSessions, "all", false, "those of all sessions")
	cmd.Flags().IntVar(&query.limit, "limit", maxListedJobs, "at most so many; 0: all")
	return cmd
}

func (r *remote) showJobsCommand() *cobra.Command {
	array, template := false, false
	cmd := &cobra.Command{Use: "show ID...", Short: "tell all of jobs", Args: someIDs,
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, ids []string) error {
			switch {
			case array:
				return r.showArrays(ctx, client, cmd.OutOrStdout(), ids)
			case template:
				return showTemplates(ctx, client, cmd.OutOrStdout(), ids)
			}
			return r.showJobs(ctx, client, cmd.OutOrStdout(), ids)
		})}
	cmd.Flags().BoolVar(&array, "array", false, "the ids are of arrays")
	cmd.Flags().BoolVar(&template, "template", false, "give the templates back")
	return cmd
}

func (r *remote) showArrays(ctx context.Context, client *drmaa2.Client, w io.Writer, ids []string) error {
	for _, id := range ids {
		array, err := client.JobArray(ctx, id)
		if err != nil {
			return err
		}
		if err := r.printArray(w, array); err != nil {
			return err
		}
	}
	return nil
}

func showTemplates(ctx context.Context, client *drmaa2.Client, w io.Writer, ids []string) error {
	for _, id := range ids {
		template, err := client.Template(ctx, id)
		if err != nil {
			return err
		}
		if err := yaml.NewEncoder(w).Encode(template); err != nil {
			return err
		}
	}
	return nil
}

func (r *remote) showJobs(ctx context.Context, client *drmaa2.Client, w io.Writer, ids []string) error {
	var jobs []drmaa2.JobInfo
	for _, id := range ids {
		job, err := client.Job(ctx, id)
		if err != nil {
			return err
		}
		jobs = append(jobs, job)
	}
	return r.printJobs(w, jobs...)
}

func (r *remote) watchCommand() *cobra.Command {
	var after string
	cmd := &cobra.Command{Use: "watch", Short: "follow changes of jobs' states, one a line", Args: noArgs,
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			err := client.Events(ctx, after, func(e drmaa2.Event) error {
				if r.format != formatTable {
					return json.NewEncoder(out).Encode(e)
				}
				_, err := fmt.Fprintln(out, e.Cursor, e.Time.Local().Format(time.DateTime), e.Event, e.JobID, e.JobState,
					e.JobSubState+e.Message)
				return err
			})
			if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
				return nil // --timeout ends a watch without an error
			}
			return err
		})}
	cmd.Flags().StringVar(&after, "after", "", "the cursor of the last event that was seen")
	return cmd
}
