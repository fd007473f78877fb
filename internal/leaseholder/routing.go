package leaseholder

import (
	"context"
	"strings"

	"gatetack/internal/http1"
	"gatetack/internal/store"
)

// nodeHeaderPrefix begins the names of headers that nodes add for one another.
const nodeHeaderPrefix = "X-Gatetack-"

// ForwardedByHeader is the header of a forwarded call. It names the node that forwarded it.
const ForwardedByHeader = nodeHeaderPrefix + "Hop"

// Locate returns who owns a partition: this node, or the node whose batch front listens at addr. It is neither if
// nobody owns the partition at the moment. Known reports whether there is such a partition.
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

// Forward makes a client's call at another node. A forwarded call is not forwarded again.
func (h *Holder) Forward(ctx context.Context, addr string, call *http1.Message) (*http1.Message, error) {
	fields := []http1.Field{{Name: ForwardedByHeader, Value: h.node}}
	for _, field := range call.Fields {
		if strings.HasPrefix(field.Name, nodeHeaderPrefix) && field.Name != ForwardedByHeader {
			fields = append(fields, field)
		}
	}
	return store.Call(ctx, addr, call.Method, call.Target, call.Body, h.ring, h.limits, fields...)
}
