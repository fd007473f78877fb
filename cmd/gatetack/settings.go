package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"gatetack/internal/settings"
	"gatetack/internal/settingsync"
)

// settingsRemote is what the commands on settings share.
type settingsRemote struct {
	*storeRemote
	output  string
	version int64 // that must stand, below 0 for any
}

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "look at and change the settings that come through the replicated store"}
	r := &settingsRemote{storeRemote: newStoreRemote(cmd)}
	cmd.PersistentFlags().StringVar(&r.output, "output", "text", "text or json")
	cmd.AddCommand(r.listCommand(), r.statusCommand(), r.forgetCommand(),
		r.changeCommand("set KEY VALUE", "set one item: class/NAME, tenant/NAME or general; its value is a JSON object, @FILE reads it", 2, oneItem),
		r.changeCommand("delete KEY", "take one item away: what the base configuration says holds again", 1,
			func(args []string) ([]settings.Change, error) { return []settings.Change{{Key: args[0]}}, nil }),
		r.changeCommand("apply FILE", "make all changes of a YAML or JSON file, or none: keys with their values, null deletes", 1, itemsOfFile))
	return cmd
}

// oneItem is the change of `set`.
func oneItem(args []string) ([]settings.Change, error) {
	value := []byte(args[1])
	if name, ok := strings.CutPrefix(args[1], "@"); ok {
		var err error
		if value, err = os.ReadFile(name); err != nil {
			return nil, err
		}
	}
	if !json.Valid(value) {
		return nil, &settings.InvalidError{Item: args[0], Got: "not valid JSON", Expected: "a JSON object"}
	}
	return []settings.Change{{Key: args[0], Value: value}}, nil
}

// itemsOfFile are the changes of `apply`.
func itemsOfFile(args []string) ([]settings.Change, error) {
	data, err := os.ReadFile(args[0])
	if err != nil {
		return nil, err
	}
	var items map[string]any
	if err := yaml.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("%s: %w", args[0], err)
	}
	if len(items) == 0 {
		return nil, fmt.Errorf("%s: no items, expected keys with their values", args[0])
	}
	var changes []settings.Change
	for key, value := range items {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("%s: %s: %w", args[0], key, err)
		}
		changes = append(changes, settings.Change{Key: key, Value: raw})
	}
	slices.SortFunc(changes, func(a, b settings.Change) int { return strings.Compare(a.Key, b.Key) })
	return changes, nil
}

func (r *settingsRemote) changeCommand(use, help string, words int, changes func(args []string) ([]settings.Change, error)) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: help,
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) != words {
				return usageError{fmt.Errorf("%s: %d words are expected", cmd.Name(), words)}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := changes(args)
			if err != nil {
				return err
			}
			return r.apply(cmd, list)
		}}
	cmd.Flags().Int64Var(&r.version, "if", -1, "only if this is the version of the settings")
	return cmd
}

func (r *settingsRemote) apply(cmd *cobra.Command, changes []settings.Change) error {
	if err := r.checkOutput(); err != nil {
		return err
	}
	request := settingsync.ApplyRequest{Changes: changes}
	if r.version >= 0 {
		version := uint64(r.version)
		request.IfVersion = &version
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	_, data, err := r.call(cmd.Context(), "POST", settingsync.Name+"/apply", body)
	if err != nil {
		return err
	}
	var accepted settingsync.Accepted
	if err := json.Unmarshal(data, &accepted); err != nil {
		return err
	}
	if r.output == "json" {
		return writeJSON(cmd.OutOrStdout(), accepted)
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d accepted, %d items changed\n", accepted.Version, accepted.Changed)
	return err
}

func (r *settingsRemote) listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "list the items, with the version that wrote each", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := r.checkOutput(); err != nil {
				return err
			}
			_, data, err := r.call(cmd.Context(), "GET", settingsync.Name+"/items", nil)
			if err != nil {
				return err
			}
			u, err := settings.DecodeUpdate(data)
			if err != nil {
				return err
			}
			if r.output == "json" {
				return writeJSON(cmd.OutOrStdout(), u)
			}
			table := newTable(cmd.OutOrStdout())
			table.printf("version %d\n", u.Version)
			for _, c := range u.Changes {
				table.printf("%s\t%d\t%s\n", c.Key, c.Version, c.Value)
			}
			return table.flush()
		}}
}

func (r *settingsRemote) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Short: "tell which version is accepted, and where it is not yet in force", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := r.checkOutput(); err != nil {
				return err
			}
			_, data, err := r.call(cmd.Context(), "GET", settingsync.Name+"/status", nil)
			if err != nil {
				return err
			}
			var status settingsync.Status
			if err := json.Unmarshal(data, &status); err != nil {
				return err
			}
			if r.output == "json" {
				return writeJSON(cmd.OutOrStdout(), status)
			}
			return showStatus(cmd.OutOrStdout(), status)
		}}
}

func (r *settingsRemote) forgetCommand() *cobra.Command {
	return &cobra.Command{Use: "forget PROCESS", Short: "no longer wait for a process that is gone for good",
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) != 1 {
				return usageError{errors.New("forget: the name of a process is expected")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := json.Marshal(settingsync.ForgetRequest{Process: args[0]})
			if err != nil {
				return err
			}
			_, _, err = r.call(cmd.Context(), "POST", settingsync.Name+"/forget", body)
			return err
		}}
}

// heard says when a process was last heard.
func heard(p settings.Progress) string {
	if p.SilentMs < 0 {
		return "not heard"
	}
	return fmt.Sprintf("heard %d ms ago", p.SilentMs)
}

// showStatus writes a line on the whole, and one on each process that is behind.
func showStatus(out io.Writer, status settingsync.Status) error {
	var late []settings.Progress
	for _, p := range status.Processes {
		if p.ActiveVersion < status.Version {
			late = append(late, p)
		}
	}
	table := newTable(out)
	table.printf("version %d accepted, in force at %d of %d processes\n", status.Version, len(status.Processes)-len(late), len(status.Processes))
	for _, p := range late {
		table.printf("not yet in force at %s\tversion %d\tbehind for %d ms\t%s\t%s\n", p.Process, p.ActiveVersion, p.BehindMs, heard(p), p.Rejected.Reason)
	}
	for _, name := range status.Unreachable {
		table.printf("not asked: %s\twho follows it may be missing here\n", name)
	}
	return table.flush()
}

func (r *settingsRemote) checkOutput() error {
	if r.output != "text" && r.output != "json" {
		return usageError{errors.New("--output: expected text or json")}
	}
	return nil
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
