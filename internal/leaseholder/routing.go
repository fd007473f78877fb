package leaseholder

import (
	"context"
	"strings"

	"gatetack/internal/http1"
	"gatetack/internal/store"
)

// nodeHeaderPrefix is the prefix of the names of headers that nodes add for each other.
const nodeHeaderPrefix = "X-Gatetack-"

// ForwardedByHeader is the header of a forwarded call. It names the node that forwarded it.
const ForwardedByHeader = nodeHeaderPrefix + "Hop"

// Locate returns the owner of a partition: here is true if this node owns it, and addr is the address of another
// owner's batch front. Neither is set if the partition has no owner at the moment. Known reports whether the partition
// exists.
func (h *Holder) Locate(key string) (addr string, here, known bool) {
	h.mu.Lock()
	_, here = h.manager.Epoch(key)
	h.mu.Unlock()
	if here {
		return "", true, true
	}
	view := h.store.View()
	partition, known := decodePartition(view.Get(PartitionTable, key))
	if !known {
		return "", false, false
	}
	if owner, ok := decodeLease(view.Get(LeaseTable, partition.Owner.Node)); ok && owner.Incarnation == partition.Owner {
		return owner.Addr, false, true
	}
	return "", false, true
}

// HoldsLease reports whether this node's lease is valid on its own clock, which runs on while the process is stopped.
// Without it another node may own the partitions that this node takes for its own.
func (h *Holder) HoldsLease() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.manager.HoldsLease(h.bootTime())
}

// Forward forwards a client's call to another node. A forwarded call is not forwarded again.
func (h *Holder) Forward(ctx context.Context, addr string, call *http1.Message) (*http1.Message, error) {
	fields := []http1.Field{{Name: ForwardedByHeader, Value: h.node}}
	for _, field := range call.Fields {
		if strings.HasPrefix(field.Name, nodeHeaderPrefix) && field.Name != ForwardedByHeader {
			fields = append(fields, field)
		}
	}
	return store.Call(ctx, addr, call.Method, call.Target, call.Body, h.ring, h.limits, fields...)
}
