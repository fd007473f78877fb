package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"

	"gatetack/internal/lease"
	"gatetack/internal/leaseholder"
)

// standing is a duty as commands show it.
type standing struct {
	Duty   string    `json:"duty"`
	Owner  string    `json:"owner"`           // empty: nobody's at the moment
	Addr   string    `json:"batch,omitempty"` // of the owner's batch front
	Epoch  uint64    `json:"epoch"`
	Of     string    `json:"of"`    // the node whose jobs these are
	Since  time.Time `json:"since"` // when that life of it began
	Living bool      `json:"living"`
	Why    string    `json:"why"`
}

func dutyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "duty", Short: "tell which node has which jobs on record, and hand them on"}
	r := newStoreRemote(cmd)
	var output string
	cmd.PersistentFlags().StringVar(&output, "output", "text", "text or json")
	cmd.AddCommand(&cobra.Command{Use: "list", Short: "list all duties, who has each and since when", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := r.duties(cmd)
			if err != nil {
				return err
			}
			return showDuties(cmd, output, all)
		}})
	cmd.AddCommand(&cobra.Command{Use: "show DUTY", Short: "tell of a duty, and who had it before", Args: oneDuty,
		RunE: func(cmd *cobra.Command, a []string) error {
			all, err := r.duties(cmd)
			if err != nil {
				return err
			}
			for _, x := range all {
				if x.Duty != a[0] {
					continue
				}
				if err := showDuties(cmd, output, []standing{x}); err != nil {
					return err
				}
				v, _, err := r.call(cmd.Context(), "GET", "kv/"+leaseholder.Duties+"/"+url.PathEscape(a[0])+"?history=1", nil)
				if err != nil {
					return err
				}
				out := printer{writer: cmd.OutOrStdout()}
				for _, e := range v.Get("entries").Array() {
					l := lifeOf(e)
					out.printf("epoch %d: %s\n", e.Get("version").Uint(), whose(l))
				}
				return out.err
			}
			return usageError{fmt.Errorf("no duty is called %q: duty list names them", a[0])}
		}})
	cmd.AddCommand(&cobra.Command{Use: "release DUTY", Short: "take a duty from its owner: another node claims it", Args: oneDuty,
		RunE: func(cmd *cobra.Command, a []string) error {
			return r.giveDuty(cmd, a[0], lease.Life{}, "is nobody's")
		}})
	cmd.AddCommand(&cobra.Command{Use: "move DUTY NODE", Short: "give a duty to a node that is alive",
		Args: func(cmd *cobra.Command, a []string) error {
			if len(a) != 2 {
				return usageError{errors.New("move: a duty and a node are expected")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, a []string) error { return r.moveDuty(cmd, a[0], a[1]) }})
	return cmd
}

// moveDuty writes a duty as that of a node's present life, which claims it under an epoch of its own as soon as it sees so. If
// that life ends first the duty is as any whose owner has no lease.
func (r *storeRemote) moveDuty(cmd *cobra.Command, key, to string) error {
	living, err := r.living(cmd)
	if err != nil {
		return err
	}
	for life := range living {
		if life.Node == to {
			return r.giveDuty(cmd, key, life, "is for "+to+" to claim")
		}
	}
	return usageError{fmt.Errorf("node %q has no lease: duty list names those that are alive", to)}
}

// giveDuty writes a duty as a life's, or nobody's, in the place of what stands there, and says what was done.
func (r *storeRemote) giveDuty(cmd *cobra.Command, key string, to lease.Life, done string) error {
	path := "kv/" + leaseholder.Duties + "/" + url.PathEscape(key)
	v, _, err := r.call(cmd.Context(), "GET", path, nil)
	if err != nil {
		return err
	}
	value, _ := json.Marshal(to)
	was := v.Get("version").Raw
	if _, _, err := r.call(cmd.Context(), "PUT", path+"?if="+was, value); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s %s; %s had it under epoch %s, and nothing it writes under that is taken any more\n",
		key, done, whose(lifeOf(v)), was)
	return err
}

func oneDuty(cmd *cobra.Command, a []string) error {
	if len(a) != 1 {
		return usageError{errors.New(cmd.Name() + ": one duty is expected")}
	}
	return nil
}

func lifeOf(e gjson.Result) (l lease.Life) {
	_ = json.Unmarshal([]byte(e.Get("value").String()), &l)
	return l
}

func whose(l lease.Life) string {
	if l.Zero() {
		return "nobody"
	}
	return fmt.Sprintf("%s, begun %s", l.Node, time.UnixMilli(l.Born).UTC().Format(time.RFC3339))
}

// living are the lives that have a lease, with where their batch fronts are.
func (r *storeRemote) living(cmd *cobra.Command) (map[lease.Life]string, error) {
	out := map[lease.Life]string{}
	return out, r.each(cmd.Context(), leaseholder.Leases, "", false, func(e gjson.Result) {
		v := gjson.Parse(e.Get("value").String())
		out[lease.Life{Node: e.Get("key").String(), Born: v.Get("born").Int()}] = v.Get("addr").String()
	})
}

func (r *storeRemote) duties(cmd *cobra.Command) ([]standing, error) {
	living, err := r.living(cmd)
	if err != nil {
		return nil, err
	}
	all := []standing{}
	err = r.each(cmd.Context(), leaseholder.Duties, "", false, func(e gjson.Result) {
		l := lifeOf(e)
		of, _ := lease.ParsePartition(e.Get("key").String())
		addr, alive := living[l]
		x := standing{Duty: e.Get("key").String(), Owner: l.Node, Addr: addr, Epoch: e.Get("version").Uint(), Of: of.Node,
			Since: time.UnixMilli(of.Born).UTC(), Living: alive}
		switch {
		case l.Zero():
			x.Why = "handed over, and nobody has claimed it yet"
		case !alive:
			x.Why = "its owner has no lease: another is to claim it"
		case of.Node != l.Node:
			x.Why = "taken over from " + of.Node
		default:
			x.Why = "its own jobs"
		}
		all = append(all, x)
	})
	return all, err
}

func showDuties(cmd *cobra.Command, output string, all []standing) error {
	switch output {
	case "json":
		e := json.NewEncoder(cmd.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(all)
	case "text":
	default:
		return usageError{fmt.Errorf("--output: %q is neither text nor json", output)}
	}
	rows := newTable(cmd.OutOrStdout())
	rows.println("DUTY\tOWNER\tEPOCH\tBATCH FRONT\tWHY")
	for _, x := range all {
		who := x.Owner
		if who == "" {
			who = "-"
		}
		rows.printf("%s\t%s\t%d\t%s\t%s\n", x.Duty, who, x.Epoch, x.Addr, x.Why)
	}
	return rows.flush()
}
