package main

import (
	"encoding/json"
	"time"

	"github.com/spf13/cobra"

	"gatetack/internal/pki"
)

func keysCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "make, renew and revoke the keys of the store and the batch front"}
	run := func(use, help string, words int, usual time.Duration, do func(cmd *cobra.Command, a []string, valid time.Duration) error) {
		var valid time.Duration
		c := &cobra.Command{Use: use, Short: help,
			Args: func(cmd *cobra.Command, a []string) error {
				if err := cobra.ExactArgs(words)(cmd, a); err != nil {
					return usageError{err}
				}
				return nil
			}, RunE: func(cmd *cobra.Command, a []string) error { return do(cmd, a, valid) }}
		if usual > 0 {
			c.Flags().DurationVar(&valid, "valid", usual, "for so long")
		}
		cmd.AddCommand(c)
	}
	const year = 365 * 24 * time.Hour
	run("init DIR NAME", "make an authority in a folder", 2, 10*year, func(_ *cobra.Command, a []string, valid time.Duration) error {
		return pki.Init(a[0], a[1], valid, time.Now())
	})
	issue := func(_ *cobra.Command, a []string, valid time.Duration) error {
		return pki.Issue(a[0], a[1], a[2], valid, time.Now())
	}
	run("issue CA OUT NAME", "make a node's key and certificate, signed by the authority in CA, in the folder OUT", 3, year, issue)
	run("renew CA OUT NAME", "likewise, in the place of those that are there; nodes take them at the next connection", 3, year, issue)
	run("revoke DIR SERIAL", "refuse a certificate from the next connection on; DIR is the folder of each node's keys", 2, 0,
		func(_ *cobra.Command, a []string, _ time.Duration) error { return pki.Revoke(a[0], a[1]) })
	run("show DIR", "tell of a folder's certificates: nothing secret", 1, 0, func(cmd *cobra.Command, a []string, _ time.Duration) error {
		all, err := pki.Describe(a[0])
		if err != nil {
			return err
		}
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(all)
	})
	return cmd
}
