package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"gatetack/internal/atomicfile"
	"gatetack/internal/limits"
	"gatetack/internal/store"
)

func oneFile(cmd *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{fmt.Errorf("%s: one path is expected", cmd.Name())}
	}
	return nil
}

func (r *storeRemote) snapshotCommand() *cobra.Command {
	return &cobra.Command{Use: "snapshot FILE", Short: "write all values of a member to a file", Args: oneFile,
		RunE: func(cmd *cobra.Command, args []string) error {
			_, data, err := r.call(cmd.Context(), http.MethodGet, "snapshot", nil)
			if err != nil {
				return err
			}
			return writeSnapshot(args[0], data)
		}}
}

// snapshotMode restricts a snapshot to the operator, since it contains data that clients submitted.
const snapshotMode = 0o600

// writeSnapshot writes a snapshot atomically and durably, so that a full disk does not destroy an earlier one with the
// same name. A path that is not a regular file, such as a terminal or a link, is written in place.
func writeSnapshot(path string, data []byte) error {
	if info, err := os.Lstat(path); err == nil && !info.Mode().IsRegular() {
		return os.WriteFile(path, data, snapshotMode)
	}
	return atomicfile.Write(atomicfile.OS, path, data, snapshotMode)
}

func (r *storeRemote) restoreCommand() *cobra.Command {
	return &cobra.Command{Use: "restore FILE", Args: oneFile,
		Short: "put a snapshot's values in the place of all that is in the store",
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			_, _, err = r.call(cmd.Context(), http.MethodPost, "restore", data)
			return err
		}}
}

func recoverCommand(lim limits.Limits) *cobra.Command {
	var name string
	var members map[string]string
	var dryRun bool
	cmd := &cobra.Command{Use: "recover DIR", Args: oneFile,
		Short: "begin the store anew from one member's folder, when most are lost for good",
		RunE: func(cmd *cobra.Command, args []string) error {
			if name == "" || len(members) == 0 {
				return usageError{errors.New(
					"recover: --name, whose folder it is, and --members of the store to be are expected")}
			}
			out := &printer{writer: cmd.OutOrStdout()}
			return errors.Join(store.Recover(args[0], name, members, dryRun, lim, out), out.err)
		}}
	cmd.Flags().StringVar(&name, "name", "", "the member whose folder it is")
	cmd.Flags().StringToStringVar(&members, "members", nil, "the members of the store to be: NAME=ADDRESS,...")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "say what it would do, and what may be lost")
	return cmd
}

func verifyCommand(lim limits.Limits) *cobra.Command {
	return &cobra.Command{Use: "verify DIR", Args: oneFile,
		Short: "say what is wrong with a member's folder, while its node is down",
		RunE: func(cmd *cobra.Command, args []string) error {
			out := &printer{writer: cmd.OutOrStdout()}
			return errors.Join(store.Verify(args[0], lim, out), out.err)
		}}
}
