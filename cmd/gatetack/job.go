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

func jobCommand() *cobra.Command {
	r := &remote{}
	cmd := &cobra.Command{Use: "job", Short: "submit, watch and control batch jobs"}
	r.flags(cmd)
	cmd.AddCommand(r.submit(), r.bulk(), r.list(), r.show(), r.wait(), r.watch(), r.doubt())
	for _, x := range []struct{ name, help string }{{"hold", "keep jobs back that wait at the node"},
		{"release", "let held jobs go"}, {"terminate", "end jobs of which nothing was sent to an executor; one that was is not stopped"},
		{"reap", "forget jobs that have ended"}} {
		array := false
		c := &cobra.Command{Use: x.name + " ID...", Short: x.help, Args: someIDs,
			RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, args []string) error {
				var all error
				out := &printer{writer: cmd.OutOrStdout()}
				for _, id := range args {
					if err := c.Control(ctx, id, x.name, array); err != nil {
						all = errors.Join(all, fmt.Errorf("%s: %w", id, err))
					} else {
						out.println(id)
					}
				}
				return errors.Join(all, out.err)
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
					_, err := fmt.Fprintln(cmd.OutOrStdout(), e.Cursor, e.Time.Local().Format(time.DateTime), e.Event, e.JobID, e.JobState,
						e.JobSubState+e.Message)
					return err
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
