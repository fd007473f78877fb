package main

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"gatetack/drmaa2"
)

func machineCommand() *cobra.Command {
	r := &remote{}
	cmd := &cobra.Command{Use: "machine", Short: "executors as the node sees them"}
	r.addFlags(cmd)
	var filter string
	list := &cobra.Command{Use: "list", Short: "list executors", Args: noArgs,
		RunE: r.run(func(ctx context.Context, c *drmaa2.Client, cmd *cobra.Command, _ []string) error {
			all, err := c.Machines(ctx, filter)
			if err != nil {
				return err
			}
			var rows [][]string
			for _, m := range all {
				rows = append(
					rows,
					[]string{m.Name, m.Status, m.Zone, m.Type, strconv.Itoa(m.Group), strconv.Itoa(m.Out), m.Address},
				)
			}
			return r.print(cmd.OutOrStdout(), all, []string{"NAME", "STATUS", "ZONE", "TYPE", "RACK", "OUT", "ADDRESS"}, rows)
		})}
	list.Flags().StringVar(&filter, "filter", "", "which executors, such as: status = ready and out > 2")
	cmd.AddCommand(list)
	return cmd
}
