package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"gatetack/drmaa2"
)

func sessionCommand() *cobra.Command {
	r := &remote{}
	cmd := &cobra.Command{Use: "session", Short: "list, create and destroy job sessions"}
	r.addFlags(cmd)
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
			_, err = fmt.Fprintln(cmd.OutOrStdout(), args[0])
			return errors.Join(err, s.CloseSession(ctx)) // the command must not leave an instance open
		})})
	cmd.AddCommand(&cobra.Command{Use: "destroy NAME", Short: "take a job session away whose jobs have ended", Args: one,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, _ *cobra.Command, args []string) error {
			return c.DestroySession(ctx, args[0])
		})})
	return cmd
}
