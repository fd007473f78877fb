package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"gatetack/internal/settings"
	"gatetack/internal/settingsync"
)

// settingsRemote has the flags of the settings commands.
type settingsRemote struct {
	*storeRemote
	format string // output format
}

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "look at and change the settings that come through the replicated store"}
	r := &settingsRemote{storeRemote: newStoreRemote(cmd)}
	cmd.PersistentFlags().StringVar(&r.format, "output", "text", "text or json")
	cmd.AddCommand(r.listCommand(), r.statusCommand(), r.forgetCommand(),
		r.changeCommand("set KEY VALUE",
			"set one item: class/NAME, tenant/NAME or general; its value is a JSON object, @FILE reads it", 2, changeOfItem),
		r.changeCommand("delete KEY", "take one item away: what the base configuration says holds again", 1, deletionOfItem),
		r.changeCommand("apply FILE",
			"make all changes of a YAML or JSON file, or none: keys with their values, null deletes", 1, changesOfFile))
	return cmd
}

// changeOfItem returns the change of the set command.
func changeOfItem(args []string) ([]settings.Change, error) {
	value, err := valueOrFile(args[1])
	if err != nil {
		return nil, err
	}
	if !json.Valid(value) {
		return nil, &settings.InvalidError{Item: args[0], Got: "not valid JSON", Expected: "a JSON object"}
	}
	return []settings.Change{{Key: args[0], Value: value}}, nil
}

// deletionOfItem returns the change of the delete command.
func deletionOfItem(args []string) ([]settings.Change, error) {
	return []settings.Change{{Key: args[0]}}, nil
}

// changesOfFile returns the changes of the apply command, sorted by key.
func changesOfFile(args []string) ([]settings.Change, error) {
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

// changeCommand returns a command that changes items. changes derives the changes from its arguments.
func (r *settingsRemote) changeCommand(
	use, short string, arguments int, changes func(args []string) ([]settings.Change, error),
) *cobra.Command {
	version := int64(-1)
	cmd := &cobra.Command{Use: use, Short: short, Args: exactWords(arguments),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := changes(args)
			if err != nil {
				return err
			}
			request := settingsync.ApplyRequest{Changes: list}
			if version >= 0 {
				condition := uint64(version)
				request.IfVersion = &condition
			}
			return r.apply(cmd, request)
		}}
	cmd.Flags().Int64Var(&version, "if", -1, "only if this is the version of the settings")
	return cmd
}

func (r *settingsRemote) apply(cmd *cobra.Command, request settingsync.ApplyRequest) error {
	if err := r.checkFormat(); err != nil {
		return err
	}
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	_, response, err := r.call(cmd.Context(), http.MethodPost, settingsync.Name+"/apply", body)
	if err != nil {
		return err
	}
	var accepted settingsync.Accepted
	if err := json.Unmarshal(response, &accepted); err != nil {
		return err
	}
	if r.format == formatJSON {
		return writeJSON(cmd.OutOrStdout(), accepted)
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d accepted, %d items changed\n", accepted.Version, accepted.Changed)
	return err
}

func (r *settingsRemote) listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "list the items, with the version that wrote each", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := r.checkFormat(); err != nil {
				return err
			}
			_, response, err := r.call(cmd.Context(), http.MethodGet, settingsync.Name+"/items", nil)
			if err != nil {
				return err
			}
			update, err := settings.DecodeUpdate(response)
			if err != nil {
				return err
			}
			if r.format == formatJSON {
				return writeJSON(cmd.OutOrStdout(), update)
			}
			rows := newTable(cmd.OutOrStdout())
			rows.printf("version %d\n", update.Version)
			for _, change := range update.Changes {
				rows.printf("%s\t%d\t%s\n", change.Key, change.Version, change.Value)
			}
			return rows.flush()
		}}
}

func (r *settingsRemote) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "tell which version is accepted, and where it is not yet in force",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := r.checkFormat(); err != nil {
				return err
			}
			_, response, err := r.call(cmd.Context(), http.MethodGet, settingsync.Name+"/status", nil)
			if err != nil {
				return err
			}
			var status settingsync.Status
			if err := json.Unmarshal(response, &status); err != nil {
				return err
			}
			if r.format == formatJSON {
				return writeJSON(cmd.OutOrStdout(), status)
			}
			return showStatus(cmd.OutOrStdout(), status)
		},
	}
}

func (r *settingsRemote) forgetCommand() *cobra.Command {
	return &cobra.Command{Use: "forget PROCESS", Short: "no longer wait for a process that is gone for good",
		Args: func(_ *cobra.Command, args []string) error {
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
			_, _, err = r.call(cmd.Context(), http.MethodPost, settingsync.Name+"/forget", body)
			return err
		}}
}

// describeLastReport describes when the process last reported.
func describeLastReport(p settings.Progress) string {
	if p.ReportAgeMs < 0 {
		return "not heard"
	}
	return fmt.Sprintf("heard %d ms ago", p.ReportAgeMs)
}

// showStatus prints a summary line and one line for each process that is behind.
func showStatus(out io.Writer, status settingsync.Status) error {
	var behind []settings.Progress
	for _, p := range status.Processes {
		if p.ActiveVersion < status.Version {
			behind = append(behind, p)
		}
	}
	rows := newTable(out)
	rows.printf("version %d accepted, in force at %d of %d processes\n",
		status.Version, len(status.Processes)-len(behind), len(status.Processes))
	for _, p := range behind {
		rows.printf("not yet in force at %s\tversion %d\tbehind for %d ms\t%s\t%s\n",
			p.Process, p.ActiveVersion, p.BehindMs, describeLastReport(p), p.Rejected.Reason)
	}
	for _, name := range status.Unreachable {
		rows.printf("not asked: %s\twho follows it may be missing here\n", name)
	}
	return rows.flush()
}

func (r *settingsRemote) checkFormat() error {
	if r.format != "text" && r.format != formatJSON {
		return usageError{errors.New("--output: expected text or json")}
	}
	return nil
}
