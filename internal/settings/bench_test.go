package settings

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gatetack/internal/dispatch"
)

// fleetRules returns a base configuration with a number of tenants.
func fleetRules(tenants int) Rules {
	r := baseRules()
	r.Tenants, r.Settings.Tenants = nil, nil
	for i := range tenants {
		r.Tenants = append(r.Tenants, fmt.Sprintf("tenant-%04d", i))
		r.Settings.Tenants = append(r.Settings.Tenants, dispatch.Tenant{ReservedShare: 1 / float64(tenants), Quota: 10})
	}
	return r
}

// quota returns the item of a tenant.
func quota(tenant int, version uint64) Change {
	value := fmt.Sprintf(`{"portion":0.01,"quotaRps":%d}`, 10+version%90)
	return Change{Key: fmt.Sprintf("tenant/tenant-%04d", tenant), Version: version, Value: json.RawMessage(value)}
}

// BenchmarkOneChange changes the quota of one tenant in a document with an item for each tenant. It measures the
// transfer to a replica as a delta, the transfer as a snapshot, and the Merge that follows either.
func BenchmarkOneChange(b *testing.B) {
	for _, tenants := range []int{4, 50, 450} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) { benchmarkOneChange(b, tenants) })
	}
}

func benchmarkOneChange(b *testing.B, tenants int) {
	base, h := fleetRules(tenants), NewHistory()
	first := Update{Version: 1, Snapshot: true}
	for i := range tenants {
		first.Changes = append(first.Changes, quota(i, 1))
	}
	if err := h.Append(first); err != nil {
		b.Fatal(err)
	}
	document := h.Document()
	var delta, snapshot, merge time.Duration
	var deltaBytes, snapshotBytes int
	for version := uint64(2); b.Loop(); version++ {
		u := Update{From: version - 1, Version: version, Changes: []Change{quota(int(version)%tenants, version)}}
		if err := h.Append(u); err != nil {
			b.Fatal(err)
		}
		startedAt := time.Now()
		next, n := transfer(b, document, h.After(document.Version()))
		delta += time.Since(startedAt)
		deltaBytes += n
		startedAt = time.Now()
		_, n = transfer(b, document, h.Document().Snapshot())
		snapshot += time.Since(startedAt)
		snapshotBytes += n
		startedAt = time.Now()
		if _, err := Merge(base, next); err != nil {
			b.Fatal(err)
		}
		merge += time.Since(startedAt)
		document = next
	}
	each := func(v float64) float64 { return v / float64(b.N) }
	b.ReportMetric(each(float64(delta.Nanoseconds())), "delta-ns")
	b.ReportMetric(each(float64(snapshot.Nanoseconds())), "whole-ns")
	b.ReportMetric(float64(snapshot)/float64(delta), "whole/delta-ns")
	b.ReportMetric(each(float64(deltaBytes)), "delta-B")
	b.ReportMetric(each(float64(snapshotBytes)), "whole-B")
	b.ReportMetric(float64(snapshotBytes)/float64(deltaBytes), "whole/delta-B")
	b.ReportMetric(each(float64(merge.Nanoseconds())), "merge-ns")
}

// transfer encodes an update, decodes it and applies it to a document, as between a member and a replica.
func transfer(b *testing.B, document *Document, u Update) (*Document, int) {
	text, err := json.Marshal(u)
	if err != nil {
		b.Fatal(err)
	}
	read, err := DecodeUpdate(text)
	if err != nil {
		b.Fatal(err)
	}
	next, err := document.Apply(read)
	if err != nil {
		b.Fatal(err)
	}
	return next, len(text)
}
