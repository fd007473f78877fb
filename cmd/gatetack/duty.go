package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"gatetack/internal/lease"
	"gatetack/internal/leaseholder"
)

// partitionStatus is the status of a partition of the job records in the output of commands. The command line calls a
// partition a duty.
type partitionStatus struct {
	Partition    string    `json:"duty"`
	Owner        string    `json:"owner"`           // empty: no owner
	BatchAddress string    `json:"batch,omitempty"` // address of the owner's batch front
	Epoch        uint64    `json:"epoch"`
	Node         string    `json:"of"`     // node that created the partition and its jobs
	Since        time.Time `json:"since"`  // start of that node's incarnation
	OwnerAlive   bool      `json:"living"` // the owner has a lease
	Reason       string    `json:"why"`
}

func dutyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "duty", Short: "tell which node has which jobs on record, and hand them on"}
	r := newStoreRemote(cmd)
	var format string
	cmd.PersistentFlags().StringVar(&format, "output", "text", "text or json")
	cmd.AddCommand(
		&cobra.Command{Use: "list", Short: "list all duties, who has each and since when", Args: noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				all, err := r.partitions(cmd)
				if err != nil {
					return err
				}
				return showPartitions(cmd, format, all)
			}},
		&cobra.Command{Use: "show DUTY", Short: "tell of a duty, and who had it before", Args: oneDuty,
			RunE: func(cmd *cobra.Command, args []string) error { return r.showPartition(cmd, format, args[0]) }},
		&cobra.Command{Use: "release DUTY", Short: "take a duty from its owner: another node claims it", Args: oneDuty,
			RunE: func(cmd *cobra.Command, args []string) error {
				return r.assignPartition(cmd, args[0], lease.Incarnation{}, "is nobody's")
			}},
		&cobra.Command{Use: "move DUTY NODE", Short: "give a duty to a node that is alive",
			Args: func(_ *cobra.Command, args []string) error {
				if len(args) != 2 {
					return usageError{errors.New("move: a duty and a node are expected")}
				}
				return nil
			},
			RunE: func(cmd *cobra.Command, args []string) error { return r.movePartition(cmd, args[0], args[1]) }})
	return cmd
}

func oneDuty(cmd *cobra.Command, args []string) error {
	if len(args) != 1 {
		return usageError{errors.New(cmd.Name() + ": one duty is expected")}
	}
	return nil
}

// showPartition prints a partition and its previous owners.
func (r *storeRemote) showPartition(cmd *cobra.Command, format, key string) error {
	all, err := r.partitions(cmd)
	if err != nil {
		return err
	}
	for _, partition := range all {
		if partition.Partition != key {
			continue
		}
		if err := showPartitions(cmd, format, []partitionStatus{partition}); err != nil {
			return err
		}
		return r.showOwners(cmd, key)
	}
	return usageError{fmt.Errorf("no duty is called %q: duty list names them", key)}
}

// showOwners prints the owners of a partition with their epochs.
func (r *storeRemote) showOwners(cmd *cobra.Command, key string) error {
	history, _, err := r.call(cmd.Context(), http.MethodGet, keyPath(leaseholder.PartitionTable, key)+"?history=1", nil)
	if err != nil {
		return err
	}
	out := printer{writer: cmd.OutOrStdout()}
	for _, v := range history.Get("entries").Array() {
		e := parseEntry(v)
		out.printf("epoch %d: %s\n", e.version, describeOwner(ownerOf(e)))
	}
	return out.err
}

// movePartition assigns a partition to the current incarnation of a node, which claims it under a new epoch as soon as
// it observes the assignment. If that incarnation ends before, the partition is like any other whose owner has no
// lease.
func (r *storeRemote) movePartition(cmd *cobra.Command, key, to string) error {
	alive, err := r.aliveNodes(cmd)
	if err != nil {
		return err
	}
	for incarnation := range alive {
		if incarnation.Node == to {
			return r.assignPartition(cmd, key, incarnation, "is for "+to+" to claim")
		}
	}
	return usageError{fmt.Errorf("node %q has no lease: duty list names those that are alive", to)}
}

// assignPartition replaces the owner of a partition by another owner or by none, and prints the result.
func (r *storeRemote) assignPartition(cmd *cobra.Command, key string, to lease.Incarnation, done string) error {
	path := keyPath(leaseholder.PartitionTable, key)
	response, _, err := r.call(cmd.Context(), http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	value, err := json.Marshal(to)
	if err != nil {
		return err
	}
	previous, epoch := ownerOf(parseEntry(response)), response.Get("version").Raw
	if _, _, err := r.call(cmd.Context(), http.MethodPut, path+"?if="+epoch, value); err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(),
		"%s %s; %s had it under epoch %s, and nothing it writes under that is taken any more\n",
		key, done, describeOwner(previous), epoch)
	return err
}

// ownerOf returns the owner in the entry of a partition, or the zero value for none.
func ownerOf(e entry) (owner lease.Incarnation) {
	_ = json.Unmarshal([]byte(e.value), &owner)
	return owner
}

func describeOwner(owner lease.Incarnation) string {
	if owner.IsZero() {
		return "nobody"
	}
	return fmt.Sprintf("%s, begun %s", owner.Node, time.UnixMilli(owner.StartedMs).UTC().Format(time.RFC3339))
}
