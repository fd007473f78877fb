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

	"gatetack/drmaa2"
)

// arrayPollInterval is the interval at which a command polls an array that it waits for.
const arrayPollInterval = 250 * time.Millisecond

func (r *remote) submitCommand() *cobra.Command {
	var flags templateFlags
	var wait bool
	cmd := &cobra.Command{Use: "submit", Short: "submit a job", Args: noArgs,
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			template, err := flags.fill(cmd)
			if err != nil {
				return err
			}
			job, _, err := client.RunJob(ctx, template)
			if err != nil {
				return err
			}
			if wait {
				if job, err = client.Wait(ctx, false, job.JobID); err != nil {
					return err
				}
			}
			if err := r.printJobs(cmd.OutOrStdout(), job); err != nil {
				return err
			}
			if wait && job.JobState != drmaa2.StateDone {
				return &failedJob{job}
			}
			return nil
		})}
	flags.register(cmd)
	cmd.Flags().BoolVar(&wait, "wait", false, "wait for its end")
	return cmd
}

func (r *remote) bulkCommand() *cobra.Command {
	var bulk drmaa2.Bulk
	var flags templateFlags
	var wait bool
	cmd := &cobra.Command{Use: "bulk", Args: noArgs,
		Short: "submit a job array; $PARAMETRIC_INDEX in its command, args and payload is a member's index",
		RunE: r.run(func(ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			var err error
			if bulk.JobTemplate, err = flags.fill(cmd); err != nil {
				return err
			}
			array, err := client.RunBulkJobs(ctx, bulk)
			if err == nil && wait {
				array, err = awaitArray(ctx, client, cmd, array)
			}
			if err != nil {
				return err
			}
			drawProgress(cmd, &array)
			if err := r.printArray(cmd.OutOrStdout(), array); err != nil {
				return err
			}
			if wait && array.Failed > 0 {
				return failedArray(&array)
			}
			return nil
		})}
	flags.register(cmd)
	cmd.Flags().IntVar(&bulk.BeginIndex, "begin", 1, "the first index")
	cmd.Flags().IntVar(&bulk.EndIndex, "end", 0, "the last index")
	cmd.Flags().IntVar(&bulk.Step, "step", 1, "between indices")
	cmd.Flags().IntVar(&bulk.MaxParallel, "max-parallel", 0, "members that may be out at a time; 0: any number")
	cmd.Flags().BoolVar(&wait, "wait", false, "wait for the end of all")
	return cmd
}

// awaitArray polls an array until all its members have ended, and draws its progress.
func awaitArray(
	ctx context.Context, client *drmaa2.Client, cmd *cobra.Command, array drmaa2.JobArray,
) (drmaa2.JobArray, error) {
	for !array.Ended() {
		drawProgress(cmd, &array)
		select {
		case <-time.After(arrayPollInterval):
		case <-ctx.Done():
			return array, ctx.Err()
		}
		var err error
		if array, err = client.JobArray(ctx, array.JobArrayID); err != nil {
			return array, err
		}
	}
	return array, nil
}

// failedArray returns the error for an array with failed members.
func failedArray(array *drmaa2.JobArray) error {
	return &failedJob{drmaa2.JobInfo{JobID: array.JobArrayID, JobState: array.JobState,
		Annotation: fmt.Sprintf("%d of %d members failed", array.Failed, array.Jobs)}}
}

// progressWidth is the width of the progress bar in characters.
const progressWidth = 40

// drawProgress draws a progress bar if standard error is a terminal. A failed write of the bar does not fail the
// command.
func drawProgress(cmd *cobra.Command, array *drmaa2.JobArray) {
	terminal, ok := cmd.ErrOrStderr().(*os.File)
	if !ok || !isatty.IsTerminal(terminal.Fd()) || array.Jobs == 0 {
		return
	}
	ended := array.Done + array.Failed
	full := ended * progressWidth / array.Jobs
	bar := strings.Repeat("#", full) + strings.Repeat(".", progressWidth-full)
	_, _ = fmt.Fprintf(terminal, "\r[%s] %d of %d, %d failed", bar, ended, array.Jobs, array.Failed)
	if array.Ended() {
		_, _ = fmt.Fprintln(terminal)
	}
}

var arrayColumns = []string{"ARRAY", "STATE", "CATEGORY", "JOBS", "NEXT", "DONE", "FAILED", "PARALLEL"}

func (r *remote) printArray(w io.Writer, array drmaa2.JobArray) error {
	row := []string{array.JobArrayID, array.JobState, array.JobCategory}
	for _, number := range []int{array.Jobs, array.NextIndex, array.Done, array.Failed, array.MaxParallel} {
		row = append(row, strconv.Itoa(number))
	}
	return r.print(w, array, arrayColumns, [][]string{row})
}
