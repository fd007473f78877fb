package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"gatetack/internal/conformance"
)

func conformCommand() *cobra.Command {
	var addr string
	var timeout time.Duration
	var failed bool
	cmd := &cobra.Command{
		Use: "conform", Short: "play the conformance suite against a batch front", Args: noArgs,
		Long: "Plays numbered cases taken from DRMAAv2's specification and from docs/batch.md against any endpoint, prints a\n" +
			"table, and fails if a case does. The endpoint must serve jobs of the categories it names.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			out := &printer{writer: cmd.OutOrStdout()}
			all, bad := 0, 0
			err := conformance.Run(ctx, addr, func(r conformance.Result) {
				if all++; r.Err != nil {
					bad++
				}
				if r.Err != nil || !failed {
					_ = r.Print(out) // kept in out.err
				}
			})
			out.printf("%d cases, %d failed\n", all, bad)
			if err == nil && bad > 0 {
				err = fmt.Errorf("%d of %d cases failed", bad, all)
			}
			return errors.Join(err, out.err)
		},
	}
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:8480", "where the batch front listens")
	cmd.Flags().DurationVar(&timeout, "timeout", 5*time.Minute, "give up after so long")
	cmd.Flags().BoolVar(&failed, "failed", false, "print the cases that fail alone")
	return cmd
}
