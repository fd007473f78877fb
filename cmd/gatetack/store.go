package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"

	"gatetack/drmaa2"
	"gatetack/internal/atomicfile"
	"gatetack/internal/limits"
	"gatetack/internal/pki"
	"gatetack/internal/store"
)

// storeRemote is what commands that speak to a member of the store share.
type storeRemote struct {
	addr    string
	keys    string
	timeout time.Duration
	lim     limits.Limits
}

// call speaks to a member, and makes what it refuses an error of the kind that its exit code says.
func (r *storeRemote) call(ctx context.Context, verb, path string, body []byte) (gjson.Result, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	ring, err := ringOf(r.keys)
	if err != nil {
		return gjson.Result{}, nil, err
	}
	m, err := store.Call(ctx, r.addr, verb, "/v1/"+path, body, ring, r.lim)
	if err != nil {
		return gjson.Result{}, nil, err
	}
	if m.Status != 200 {
		e := &drmaa2.Error{Status: m.Status, Code: "REFUSED", Message: gjson.GetBytes(m.Body, "error").String()}
		if m.Status == 503 {
			e.Code = "TRY_LATER"
		}
		if v := gjson.GetBytes(m.Body, "version"); v.Exists() {
			e.Message += ": version " + v.Raw
		}
		return gjson.Result{}, nil, e
	}
	return gjson.ParseBytes(m.Body), m.Body, nil
}

// newStoreRemote gives a command the flags that say which member to speak to, and how.
func newStoreRemote(cmd *cobra.Command) *storeRemote {
	r := &storeRemote{lim: limits.New(0, 0, 0, 0, 0)}
	cmd.PersistentFlags().StringVar(&r.addr, "store-addr", "127.0.0.1:7480", "where a member of the store listens")
	cmd.PersistentFlags().StringVar(&r.keys, "keys", "", "a folder of keys, where the store has them")
	cmd.PersistentFlags().DurationVar(&r.timeout, "timeout", 30*time.Second, "give up after so long")
	return r
}

// each tells of all entries of a table whose keys begin with a prefix, page by page.
func (r *storeRemote) each(ctx context.Context, table, prefix string, stale bool, tell func(gjson.Result)) error {
	for after := ""; ; {
		q := url.Values{"prefix": {prefix}, "after": {after}}
		v, _, err := r.call(ctx, "GET", "kv/"+url.PathEscape(table)+"?"+q.Encode()+staleQuery(stale, "&"), nil)
		if err != nil {
			return err
		}
		all := v.Get("entries").Array()
		for _, e := range all {
			tell(e)
			after = e.Get("key").String()
		}
		if len(all) == 0 {
			return nil
		}
	}
}

func storeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "store", Short: "look at and change the replicated store, and its members"}
	r := newStoreRemote(cmd)
	show := func(cmd *cobra.Command, body []byte) error {
		var v any
		if err := json.Unmarshal(body, &v); err != nil {
			return err
		}
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	plain := func(use, help, verb string, args int, path func(args []string) string, body func(args []string) []byte) *cobra.Command {
		return &cobra.Command{Use: use, Short: help,
			Args: func(cmd *cobra.Command, a []string) error {
				if len(a) != args {
					return usageError{fmt.Errorf("%s: %d words are expected", cmd.Name(), args)}
				}
				return nil
			},
			RunE: func(cmd *cobra.Command, a []string) error {
				var b []byte
				if body != nil {
					b = body(a)
				}
				_, out, err := r.call(cmd.Context(), verb, path(a), b)
				if err != nil {
					return err
				}
				return show(cmd, out)
			}}
	}
	at := func(text string) func([]string) string { return func([]string) string { return text } }
	key := func(a []string) string { return "kv/" + url.PathEscape(a[0]) + "/" + url.PathEscape(a[1]) }
	change := func(verb string, force *bool) func([]string) []byte {
		return func(a []string) []byte {
			m := map[string]any{"verb": verb, "name": a[0], "force": force != nil && *force}
			if len(a) > 1 {
				m["address"] = a[1]
			}
			b, _ := json.Marshal(m)
			return b
		}
	}
	cmd.AddCommand(
		plain("status", "tell how a member stands", "GET", 0, at("status"), nil),
		plain("members", "list the members", "GET", 0, at("members"), nil),
		plain("join NAME ADDRESS", "let a node be a member; it votes once it has caught up", "POST", 2, at("members"), change("join", nil)),
		plain("leave NAME", "take a member out that is alive", "POST", 1, at("members"), change("leave", nil)),
		plain("history TABLE KEY", "tell a key's former values", "GET", 2, func(a []string) string { return key(a) + "?history=1" }, nil),
	)
	force := false
	remove := plain("remove NAME", "take a dead member out", "POST", 1, at("members"), change("remove", &force))
	remove.Flags().BoolVar(&force, "force", false, "also one that is alive")
	stale := false
	get := plain("get TABLE KEY", "tell a value", "GET", 2, func(a []string) string { return key(a) + staleQuery(stale, "?") }, nil)
	get.Flags().BoolVar(&stale, "stale", false, "as this member has it, which may be old")
	var cond string
	var ttl time.Duration
	query := func() string {
		q := url.Values{}
		if cond != "" {
			q.Set("if", cond)
		}
		if ttl > 0 {
			q.Set("ttlMs", strconv.FormatInt(ttl.Milliseconds(), 10))
		}
		if len(q) == 0 {
			return ""
		}
		return "?" + q.Encode()
	}
	set := plain("set TABLE KEY VALUE", "set a value; @FILE reads it", "PUT", 3, func(a []string) string { return key(a) + query() }, nil)
	set.RunE = func(cmd *cobra.Command, a []string) error {
		value := []byte(a[2])
		if name, ok := strings.CutPrefix(a[2], "@"); ok {
			var err error
			if value, err = os.ReadFile(name); err != nil {
				return err
			}
		}
		_, out, err := r.call(cmd.Context(), "PUT", key(a)+query(), value)
		if err != nil {
			return err
		}
		return show(cmd, out)
	}
	set.Flags().StringVar(&cond, "if", "", "only if this version stands there; 0: only if nothing does")
	set.Flags().DurationVar(&ttl, "ttl", 0, "it expires after so long")
	del := plain("delete TABLE KEY", "take a value away", "DELETE", 2, func(a []string) string { return key(a) + query() }, nil)
	del.Flags().StringVar(&cond, "if", "", "only if this version stands there")
	cmd.AddCommand(remove, get, set, del, r.list(&stale), r.watch(), r.snapshot(), r.restore(), verifyCommand(r.lim), recoverCommand(r.lim))
	return cmd
}

// ringOf opens a folder of keys; none is named where none are wanted.
func ringOf(dir string) (*pki.Ring, error) {
	if dir == "" {
		return nil, nil
	}
	return pki.Open(dir, func(error) {})
}

func staleQuery(stale bool, sep string) string {
	if stale {
		return sep + "stale=1"
	}
	return ""
}

func (r *storeRemote) list(stale *bool) *cobra.Command {
	var prefix string
	cmd := &cobra.Command{Use: "list TABLE", Short: "list a table's values",
		Args: func(cmd *cobra.Command, a []string) error {
			if len(a) != 1 {
				return usageError{errors.New("list: one table is expected")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, a []string) error {
			out := printer{writer: cmd.OutOrStdout()}
			err := r.each(cmd.Context(), a[0], prefix, *stale, func(e gjson.Result) { out.println(e.Raw) })
			return errors.Join(err, out.err)
		}}
	cmd.Flags().StringVar(&prefix, "prefix", "", "keys that begin with it")
	cmd.Flags().BoolVar(stale, "stale", false, "as this member has them, which may be old")
	return cmd
}

func (r *storeRemote) watch() *cobra.Command {
	var table, prefix, after string
	var span time.Duration
	cmd := &cobra.Command{Use: "watch", Short: "follow changes, one a line", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			began := time.Now()
			out := printer{writer: cmd.OutOrStdout()}
			for span == 0 || time.Since(began) < span {
				q := url.Values{"table": {table}, "prefix": {prefix}, "timeoutMs": {"1000"}}
				if after != "" {
					q.Set("after", after)
				}
				v, _, err := r.call(cmd.Context(), "GET", "watch?"+q.Encode(), nil)
				if err != nil {
					return err
				}
				after = v.Get("after").Raw
				for _, e := range v.Get("events").Array() {
					out.println(e.Raw)
				}
				if out.err != nil {
					return out.err
				}
			}
			return nil
		}}
	cmd.Flags().StringVar(&table, "table", "", "of one table")
	cmd.Flags().StringVar(&prefix, "prefix", "", "of keys that begin with it")
	cmd.Flags().StringVar(&after, "after", "", "the version after which to begin; empty: now")
	cmd.Flags().DurationVar(&span, "for", 0, "for so long; 0: until it is ended")
	return cmd
}

func oneFile(cmd *cobra.Command, a []string) error {
	if len(a) != 1 {
		return usageError{fmt.Errorf("%s: one path is expected", cmd.Name())}
	}
	return nil
}

func (r *storeRemote) snapshot() *cobra.Command {
	return &cobra.Command{Use: "snapshot FILE", Short: "write all values of a member to a file", Args: oneFile,
		RunE: func(cmd *cobra.Command, a []string) error {
			_, data, err := r.call(cmd.Context(), "GET", "snapshot", nil)
			if err != nil {
				return err
			}
			return writeSnapshot(a[0], data)
		}}
}

// snapshotMode lets the operator alone read a snapshot: it holds what clients submitted.
const snapshotMode = 0o600

// writeSnapshot writes a snapshot durably, so that an earlier one under the same name is not lost to a full disk. What is
// no regular file, as a terminal or a link, is written in place.
func writeSnapshot(path string, data []byte) error {
	if info, err := os.Lstat(path); err == nil && !info.Mode().IsRegular() {
		return os.WriteFile(path, data, snapshotMode)
	}
	return atomicfile.Write(atomicfile.OS, path, data, snapshotMode)
}

func (r *storeRemote) restore() *cobra.Command {
	return &cobra.Command{Use: "restore FILE", Short: "put a snapshot's values in the place of all that is in the store", Args: oneFile,
		RunE: func(cmd *cobra.Command, a []string) error {
			data, err := os.ReadFile(a[0])
			if err != nil {
				return err
			}
			_, _, err = r.call(cmd.Context(), "POST", "restore", data)
			return err
		}}
}

func recoverCommand(lim limits.Limits) *cobra.Command {
	var name string
	var members map[string]string
	var dry bool
	cmd := &cobra.Command{Use: "recover DIR", Short: "begin the store anew from one member's folder, when most are lost for good", Args: oneFile,
		RunE: func(cmd *cobra.Command, a []string) error {
			if name == "" || len(members) == 0 {
				return usageError{errors.New("recover: --name, whose folder it is, and --members of the store to be are expected")}
			}
			out := &printer{writer: cmd.OutOrStdout()}
			return errors.Join(store.Recover(a[0], name, members, dry, lim, out), out.err)
		}}
	cmd.Flags().StringVar(&name, "name", "", "the member whose folder it is")
	cmd.Flags().StringToStringVar(&members, "members", nil, "the members of the store to be: NAME=ADDRESS,...")
	cmd.Flags().BoolVar(&dry, "dry-run", false, "say what it would do, and what may be lost")
	return cmd
}

func verifyCommand(lim limits.Limits) *cobra.Command {
	return &cobra.Command{Use: "verify DIR", Short: "say what is wrong with a member's folder, while its node is down", Args: oneFile,
		RunE: func(cmd *cobra.Command, a []string) error {
			out := &printer{writer: cmd.OutOrStdout()}
			return errors.Join(store.Verify(a[0], lim, out), out.err)
		}}
}
