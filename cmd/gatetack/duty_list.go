package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/tidwall/gjson"

	"gatetack/internal/lease"
	"gatetack/internal/leaseholder"
)

// aliveNodes returns the incarnations that have a lease, with the addresses of their batch fronts.
func (r *storeRemote) aliveNodes(cmd *cobra.Command) (map[lease.Incarnation]string, error) {
	alive := map[lease.Incarnation]string{}
	err := r.each(cmd.Context(), tableQuery{table: leaseholder.LeaseTable}, func(e entry) {
		stored := gjson.Parse(e.value)
		alive[lease.Incarnation{Node: e.key, StartedMs: stored.Get("born").Int()}] = stored.Get("addr").String()
	})
	return alive, err
}

// partitions returns all partitions with their owners.
func (r *storeRemote) partitions(cmd *cobra.Command) ([]partitionStatus, error) {
	alive, err := r.aliveNodes(cmd)
	if err != nil {
		return nil, err
	}
	all := []partitionStatus{}
	err = r.each(cmd.Context(), tableQuery{table: leaseholder.PartitionTable}, func(e entry) {
		all = append(all, statusOf(e, alive))
	})
	return all, err
}

// statusOf returns the status of the partition in an entry. alive contains the incarnations that have a lease.
func statusOf(e entry, alive map[lease.Incarnation]string) partitionStatus {
	owner := ownerOf(e)
	partition, _ := lease.ParsePartitionKey(e.key)
	address, ownerAlive := alive[owner]
	status := partitionStatus{Partition: e.key, Owner: owner.Node, BatchAddress: address, Epoch: e.version,
		Node: partition.Node, Since: time.UnixMilli(partition.StartedMs).UTC(), OwnerAlive: ownerAlive}
	switch {
	case owner.IsZero():
		status.Reason = "handed over, and nobody has claimed it yet"
	case !ownerAlive:
		status.Reason = "its owner has no lease: another is to claim it"
	case partition.Node != owner.Node:
		status.Reason = "taken over from " + partition.Node
	default:
		status.Reason = "its own jobs"
	}
	return status
}

// showPartitions prints partitions in the given output format.
func showPartitions(cmd *cobra.Command, format string, all []partitionStatus) error {
	switch format {
	case "json":
		return writeJSON(cmd.OutOrStdout(), all)
	case "text":
	default:
		return usageError{fmt.Errorf("--output: %q is neither text nor json", format)}
	}
	rows := newTable(cmd.OutOrStdout())
	rows.println("DUTY\tOWNER\tEPOCH\tBATCH FRONT\tWHY")
	for _, partition := range all {
		owner := partition.Owner
		if owner == "" {
			owner = "-"
		}
		rows.printf(
			"%s\t%s\t%d\t%s\t%s\n",
			partition.Partition,
			owner,
			partition.Epoch,
			partition.BatchAddress,
			partition.Reason,
		)
	}
	return rows.flush()
}
