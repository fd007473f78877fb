package main

import (
	"time"

	"github.com/spf13/cobra"

	"gatetack/internal/pki"
)

// Default validity of certificates.
const (
	year              = 365 * 24 * time.Hour
	authorityValidity = 10 * year
	nodeValidity      = year
)

func keysCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "make, renew and revoke the keys of the store and the batch front"}
	cmd.AddCommand(
		certificateCommand("init DIR NAME", "make an authority in a folder", 2, authorityValidity,
			func(args []string, valid time.Duration) error { return pki.Init(args[0], args[1], valid, time.Now()) }),
		certificateCommand("issue CA OUT NAME",
			"make a node's key and certificate, signed by the authority in CA, in the folder OUT", 3, nodeValidity, issueKeys),
		certificateCommand(
			"renew CA OUT NAME",
			"likewise, in the place of those that are there; nodes take them at the next connection",
			3,
			nodeValidity,
			issueKeys,
		),
		&cobra.Command{Use: "revoke DIR SERIAL", Args: exactArgs(2),
			Short: "refuse a certificate from the next connection on; DIR is the folder of each node's keys",
			RunE:  func(_ *cobra.Command, args []string) error { return pki.Revoke(args[0], args[1]) }},
		&cobra.Command{Use: "show DIR", Args: exactArgs(1),
			Short: "tell of a folder's certificates: nothing secret",
			RunE:  showKeys})
	return cmd
}

// certificateCommand returns a command that creates certificates. Its flag sets their validity.
func certificateCommand(
	use, short string, arguments int, usual time.Duration, do func(args []string, valid time.Duration) error,
) *cobra.Command {
	var valid time.Duration
	cmd := &cobra.Command{Use: use, Short: short, Args: exactArgs(arguments),
		RunE: func(_ *cobra.Command, args []string) error { return do(args, valid) }}
	cmd.Flags().DurationVar(&valid, "valid", usual, "for so long")
	return cmd
}

func issueKeys(args []string, valid time.Duration) error {
	return pki.Issue(args[0], args[1], args[2], valid, time.Now())
}

func showKeys(cmd *cobra.Command, args []string) error {
	certificates, err := pki.Describe(args[0])
	if err != nil {
		return err
	}
	return writeJSON(cmd.OutOrStdout(), certificates)
}

// exactArgs requires the given number of arguments and reports cobra's message as a usage error.
func exactArgs(number int) cobra.PositionalArgs {
	check := cobra.ExactArgs(number)
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
