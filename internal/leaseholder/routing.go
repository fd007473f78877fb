package leaseholder

import (
	"context"
	"strings"

	"gatetack/internal/http1"
	"gatetack/internal/store"
)

// Place returns who owns a partition: this node, or the node whose batch front listens at addr. Neither, if nobody owns it at the
// moment; known is false if there is no such duty.
func (o *Owner) Place(partition string) (addr string, ours, known bool) {
	o.mu.Lock()
	_, ours = o.keeper.Epoch(partition)
	o.mu.Unlock()
	if ours {
		return "", true, true
	}
	now := o.store.View()
	d, known := dutyOf(now.Get(Duties, partition))
	if known {
		if l, ok := leaseOf(now.Get(Leases, d.Owner.Node)); ok && l.Life == d.Owner {
			return l.Addr, false, true
		}
	}
	return "", false, known
}

// Pass forwards a client's call to another node, once: a forwarded call is not forwarded again.
func (o *Owner) Pass(ctx context.Context, addr string, m *http1.Message) (*http1.Message, error) {
	fields := []http1.Field{{Name: Hop, Value: o.name}}
	for _, x := range m.Fields {
		if strings.HasPrefix(x.Name, own) && x.Name != Hop {
			fields = append(fields, x)
		}
	}
	return store.Call(ctx, addr, m.Method, m.Target, m.Body, o.ring, o.lim, fields...)
}

// Hop is the header of a forwarded call. It names the node that forwarded it.
const Hop = own + "Hop"

// own begins the names of headers that nodes add for one another.
const own = "X-Gatetack-"
