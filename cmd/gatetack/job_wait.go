package main

import (
	"context"

	"github.com/spf13/cobra"

	"gatetack/drmaa2"
)

// jobWait waits for jobs and collects their states.
type jobWait struct {
	client  *drmaa2.Client
	started bool // wait until jobs have started instead of ended
	jobs    []drmaa2.JobInfo
	failed  *failedJob // first job that did not end in state DONE
}

// await waits until one of several jobs has ended or started.
func (w *jobWait) await(ctx context.Context, ids ...string) error {
	job, err := w.client.Wait(ctx, w.started, ids...)
	if err != nil {
		return err
	}
	w.jobs = append(w.jobs, job)
	if !w.started && job.JobState != drmaa2.StateDone && w.failed == nil {
		w.failed = &failedJob{job}
	}
	return nil
}

// awaitAll waits for each of several jobs in the given order.
func (w *jobWait) awaitAll(ctx context.Context, ids []string) error {
	for _, id := range ids {
		if err := w.await(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

func (r *remote) waitCommand() *cobra.Command {
	started, first := false, false
	cmd := &cobra.Command{Use: "wait ID...", Short: "wait until jobs have ended", Args: someIDs,
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, ids []string) error {
			wait := &jobWait{client: client, started: started}
			var err error
			if first {
				err = wait.await(ctx, ids...)
			} else {
				err = wait.awaitAll(ctx, ids)
			}
			if err != nil {
				return err
			}
			if err := r.printJobs(cmd.OutOrStdout(), wait.jobs...); err != nil {
				return err
			}
			if wait.failed != nil {
				return wait.failed
			}
			return nil
		})}
	cmd.Flags().BoolVar(&started, "started", false, "until they have started")
	cmd.Flags().BoolVar(&first, "any", false, "until one of them has")
	return cmd
}
