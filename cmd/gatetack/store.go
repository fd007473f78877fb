package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

func storeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "store", Short: "look at and change the replicated store, and its members"}
	r := newStoreRemote(cmd)
	stale := false
	cmd.AddCommand(r.memberCommands()...)
	cmd.AddCommand(r.getCommand(&stale), r.historyCommand(), r.setCommand(), r.deleteCommand(), r.listCommand(&stale),
		r.watchCommand(), r.snapshotCommand(), r.restoreCommand(), verifyCommand(r.limits), recoverCommand(r.limits))
	return cmd
}

// storeCall describes how to build a call to a member from the arguments of a command.
type storeCall struct {
	verb string
	path func(args []string) string
	body func(args []string) ([]byte, error) // nil: no body
}

// callCommand returns a command that makes one call to a member and prints the response.
func (r *storeRemote) callCommand(use, short string, arguments int, call storeCall) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: exactWords(arguments),
		RunE: func(cmd *cobra.Command, args []string) error {
			var body []byte
			var err error
			if call.body != nil {
				if body, err = call.body(args); err != nil {
					return err
				}
			}
			_, response, err := r.call(cmd.Context(), call.verb, call.path(args), body)
			if err != nil {
				return err
			}
			var v any
			if err := json.Unmarshal(response, &v); err != nil {
				return err
			}
			return writeJSON(cmd.OutOrStdout(), v)
		}}
}

// exactWords requires the given number of arguments.
func exactWords(number int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != number {
			return usageError{fmt.Errorf("%s: %d words are expected", cmd.Name(), number)}
		}
		return nil
	}
}

// memberChange is the body of a call that changes the members of the store.
type memberChange struct {
	Address string `json:"address,omitempty"`
	Force   bool   `json:"force"`
	Name    string `json:"name"`
	Verb    string `json:"verb"`
}

func (r *storeRemote) memberCommands() []*cobra.Command {
	to := func(path string) func([]string) string { return func([]string) string { return path } }
	change := func(verb string, force *bool) storeCall {
		return storeCall{verb: http.MethodPost, path: to("members"), body: func(args []string) ([]byte, error) {
			c := memberChange{Verb: verb, Name: args[0], Force: force != nil && *force}
			if len(args) > 1 {
				c.Address = args[1]
			}
			return json.Marshal(c)
		}}
	}
	force := false
	remove := r.callCommand("remove NAME", "take a dead member out", 1, change("remove", &force))
	remove.Flags().BoolVar(&force, "force", false, "also one that is alive")
	return []*cobra.Command{
		r.callCommand("status", "tell how a member stands", 0, storeCall{verb: http.MethodGet, path: to("status")}),
		r.callCommand("members", "list the members", 0, storeCall{verb: http.MethodGet, path: to("members")}),
		r.callCommand("join NAME ADDRESS", "let a node be a member; it votes once it has caught up", 2, change("join", nil)),
		r.callCommand("leave NAME", "take a member out that is alive", 1, change("leave", nil)),
		remove,
	}
}

func (r *storeRemote) historyCommand() *cobra.Command {
	return r.callCommand("history TABLE KEY", "tell a key's former values", 2, storeCall{verb: http.MethodGet,
		path: func(args []string) string { return keyPath(args[0], args[1]) + "?history=1" }})
}

// getCommand returns the get command. It shares the flag stale with the list command.
func (r *storeRemote) getCommand(stale *bool) *cobra.Command {
	cmd := r.callCommand("get TABLE KEY", "tell a value", 2, storeCall{verb: http.MethodGet,
		path: func(args []string) string {
			if *stale {
				return keyPath(args[0], args[1]) + "?stale=1"
			}
			return keyPath(args[0], args[1])
		}})
	cmd.Flags().BoolVar(stale, "stale", false, "as this member has it, which may be old")
	return cmd
}

// writeCondition has the condition of a write and the TTL of its value.
type writeCondition struct {
	version string // required current version; empty: any
	ttl     time.Duration
}

// path returns the path of a conditional write to a key.
func (c *writeCondition) path(args []string) string {
	query := url.Values{}
	if c.version != "" {
		query.Set("if", c.version)
	}
	if c.ttl > 0 {
		query.Set("ttlMs", strconv.FormatInt(c.ttl.Milliseconds(), 10))
	}
	path := keyPath(args[0], args[1])
	if len(query) == 0 {
		return path
	}
	return path + "?" + query.Encode()
}

func (r *storeRemote) setCommand() *cobra.Command {
	var condition writeCondition
	cmd := r.callCommand("set TABLE KEY VALUE", "set a value; @FILE reads it", 3, storeCall{verb: http.MethodPut,
		path: condition.path,
		body: func(args []string) ([]byte, error) { return valueOrFile(args[2]) }})
	cmd.Flags().StringVar(&condition.version, "if", "", "only if this version stands there; 0: only if nothing does")
	cmd.Flags().DurationVar(&condition.ttl, "ttl", 0, "it expires after so long")
	return cmd
}

func (r *storeRemote) deleteCommand() *cobra.Command {
	var condition writeCondition
	cmd := r.callCommand(
		"delete TABLE KEY",
		"take a value away",
		2,
		storeCall{verb: http.MethodDelete, path: condition.path},
	)
	cmd.Flags().StringVar(&condition.version, "if", "", "only if this version stands there")
	return cmd
}

// valueOrFile returns the value of an argument: its text, or the contents of the file named after @.
func valueOrFile(argument string) ([]byte, error) {
	if name, ok := strings.CutPrefix(argument, "@"); ok {
		return os.ReadFile(name)
	}
	return []byte(argument), nil
}

func (r *storeRemote) listCommand(stale *bool) *cobra.Command {
	var prefix string
	cmd := &cobra.Command{Use: "list TABLE", Short: "list a table's values",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 1 {
				return usageError{errors.New("list: one table is expected")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			out := printer{writer: cmd.OutOrStdout()}
			query := tableQuery{table: args[0], prefix: prefix, stale: *stale}
			err := r.each(cmd.Context(), query, func(e entry) { out.println(e.raw) })
			return errors.Join(err, out.err)
		}}
	cmd.Flags().StringVar(&prefix, "prefix", "", "keys that begin with it")
	cmd.Flags().BoolVar(stale, "stale", false, "as this member has them, which may be old")
	return cmd
}

// storeWatch selects the changes that the watch command prints.
type storeWatch struct {
	table, prefix string
	after         string // version after which to start; empty: now
	span          time.Duration
}

// watchPollMs is how long a member delays the response to a poll while nothing changes, in milliseconds.
const watchPollMs = "1000"

func (r *storeRemote) watchCommand() *cobra.Command {
	var w storeWatch
	cmd := &cobra.Command{Use: "watch", Short: "follow changes, one a line", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			started := time.Now()
			out := printer{writer: cmd.OutOrStdout()}
			for w.span == 0 || time.Since(started) < w.span {
				if err := r.pollChanges(cmd, &w, &out); err != nil {
					return err
				}
			}
			return nil
		}}
	cmd.Flags().StringVar(&w.table, "table", "", "of one table")
	cmd.Flags().StringVar(&w.prefix, "prefix", "", "of keys that begin with it")
	cmd.Flags().StringVar(&w.after, "after", "", "the version after which to begin; empty: now")
	cmd.Flags().DurationVar(&w.span, "for", 0, "for so long; 0: until it is ended")
	return cmd
}

// pollChanges prints the next changes of a watch and advances it past them.
func (r *storeRemote) pollChanges(cmd *cobra.Command, w *storeWatch, out *printer) error {
	query := url.Values{"table": {w.table}, "prefix": {w.prefix}, "timeoutMs": {watchPollMs}}
	if w.after != "" {
		query.Set("after", w.after)
	}
	response, _, err := r.call(cmd.Context(), http.MethodGet, "watch?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	w.after = response.Get("after").Raw
	for _, e := range response.Get("events").Array() {
		out.println(e.Raw)
	}
	return out.err
}
