package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"gatetack/internal/conformance"
)

// conformTimeout is the default timeout of a run of the conformance suite.
const conformTimeout = 5 * time.Minute

func conformCommand() *cobra.Command {
	var address string
	var timeout time.Duration
	var failedOnly bool
	cmd := &cobra.Command{
		Use:   "conform",
		Short: "play the conformance suite against a batch front",
		Args:  noArgs,
		Long: "Plays numbered cases taken from DRMAAv2's specification and from docs/batch.md against any endpoint, " +
			"prints a\n" +
			"table, and fails if a case does. The endpoint must serve jobs of the categories it names.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			out := &printer{writer: cmd.OutOrStdout()}
			cases, failed := 0, 0
			err := conformance.Run(ctx, address, func(result conformance.Result) {
				cases++
				if result.Err != nil {
					failed++
				}
				if result.Err != nil || !failedOnly {
					_ = result.Print(out) // the error is kept in out.err
				}
			})
			out.printf("%d cases, %d failed\n", cases, failed)
			if err == nil && failed > 0 {
				err = fmt.Errorf("%d of %d cases failed", failed, cases)
			}
			return errors.Join(err, out.err)
		},
	}
	cmd.Flags().StringVar(&address, "addr", "127.0.0.1:8480", "where the batch front listens")
	cmd.Flags().DurationVar(&timeout, "timeout", conformTimeout, "give up after so long")
	cmd.Flags().BoolVar(&failedOnly, "failed", false, "print the cases that fail alone")
	return cmd
}
