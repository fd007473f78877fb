package main

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"

	"gatetack/drmaa2"
	"gatetack/internal/limits"
	"gatetack/internal/pki"
	"gatetack/internal/store"
)

// storeTimeout is the default timeout of a call to a member of the store.
const storeTimeout = 30 * time.Second

// storeRemote has the flags of all commands that call a member of the store.
type storeRemote struct {
	address string
	keysDir string
	timeout time.Duration
	limits  limits.Limits
}

// newStoreRemote adds the flags for the connection to a member to a command.
func newStoreRemote(cmd *cobra.Command) *storeRemote {
	r := &storeRemote{limits: limits.New(0, 0, 0, 0, 0)}
	flags := cmd.PersistentFlags()
	flags.StringVar(&r.address, "store-addr", "127.0.0.1:7480", "where a member of the store listens")
	flags.StringVar(&r.keysDir, "keys", "", "a folder of keys, where the store has them")
	flags.DurationVar(&r.timeout, "timeout", storeTimeout, "give up after so long")
	return r
}

// call makes a call to a member. It returns a rejection as a *drmaa2.Error, which determines the exit code.
func (r *storeRemote) call(ctx context.Context, verb, path string, body []byte) (gjson.Result, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	ring, err := clientKeys(r.keysDir)
	if err != nil {
		return gjson.Result{}, nil, err
	}
	response, err := store.Call(ctx, r.address, verb, "/v1/"+path, body, ring, r.limits)
	if err != nil {
		return gjson.Result{}, nil, err
	}
	if response.Status != http.StatusOK {
		return gjson.Result{}, nil, storeRejection(response.Status, response.Body)
	}
	return gjson.ParseBytes(response.Body), response.Body, nil
}

// storeRejection returns the error for a response of the store with a status other than 200.
func storeRejection(status int, body []byte) error {
	rejection := &drmaa2.Error{Status: status, Code: "REFUSED", Message: gjson.GetBytes(body, "error").String()}
	switch status {
	case http.StatusServiceUnavailable:
		rejection.Code = drmaa2.CodeTryLater
	case http.StatusGatewayTimeout:
		rejection.Code = drmaa2.CodeOutcomeUnknown
	}
	if version := gjson.GetBytes(body, "version"); version.Exists() {
		rejection.Message += ": version " + version.Raw
	}
	return rejection
}

// entry is one entry of a table in a response of the store.
type entry struct {
	key     string
	value   string
	version uint64
	raw     string // JSON of the entry
}

func parseEntry(v gjson.Result) entry {
	return entry{key: v.Get("key").String(), value: v.Get("value").String(), version: v.Get("version").Uint(), raw: v.Raw}
}

// each calls visit for all entries that a query selects. It reads them page by page.
func (r *storeRemote) each(ctx context.Context, table tableQuery, visit func(entry)) error {
	for after := ""; ; {
		page, _, err := r.call(ctx, http.MethodGet, table.path(after), nil)
		if err != nil {
			return err
		}
		entries := page.Get("entries").Array()
		for _, v := range entries {
			e := parseEntry(v)
			visit(e)
			after = e.key
		}
		if len(entries) == 0 {
			return nil
		}
	}
}

// tableQuery selects entries of a table.
type tableQuery struct {
	table  string
	prefix string // prefix of the keys
	stale  bool   // read from the called member's replica, which may be outdated
}

// path returns the path of the page of entries after a key.
func (q tableQuery) path(after string) string {
	query := url.Values{"prefix": {q.prefix}, "after": {after}}
	path := "kv/" + url.PathEscape(q.table) + "?" + query.Encode()
	if q.stale {
		path += "&stale=1"
	}
	return path
}

// keyPath returns the path of a key in a table.
func keyPath(table, key string) string {
	return "kv/" + url.PathEscape(table) + "/" + url.PathEscape(key)
}

// clientKeys opens a directory of keys for one call. It returns nil if dir is empty.
func clientKeys(dir string) (*pki.Ring, error) {
	if dir == "" {
		return nil, nil
	}
	return pki.Open(dir, func(error) {})
}
