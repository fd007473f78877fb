package node

import (
	"math"
	"slices"
	"time"
)

// Names are the names that the settings give to the positions the decision module counts by.
type Names struct {
	Classes, Tenants, Zones, Kinds, Fields []string // a class's place that is no longer named has none

	Retired []RetiredClass
}

// Class finds a class by its name: one that is named now, or that was until shortly before now.
func (n *Names) Class(name string) (int, bool) {
	if name == "" {
		return -1, false
	}
	if i := slices.Index(n.Classes, name); i >= 0 {
		return i, true
	}
	i := slices.IndexFunc(n.Retired, func(x RetiredClass) bool { return x.Name == name && time.Now().Before(x.AcceptedUntil) })
	if i < 0 {
		return -1, false
	}
	return n.Retired[i].Class, true
}

// Tenant finds a tenant by its name.
func (n *Names) Tenant(name string) (int, bool) { i := slices.Index(n.Tenants, name); return i, i >= 0 }

// loadReportAliases are the names that load reports use for the fields of the settings, where they differ.
var loadReportAliases = map[string]string{"pending": "queue", "busy_reqs": "inflight", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps"}

// LoadReport orders the values of a load report as the settings name them; nil if it holds none of them.
func (n *Names) LoadReport(value func(name string) (float64, bool)) []float32 {
	var out []float32
	for i, name := range n.Fields {
		v, ok := value(name)
		if !ok {
			v, ok = value(loadReportAliases[name])
		}
		if !ok {
			continue
		}
		for len(out) < i {
			out = append(out, float32(math.NaN()))
		}
		out = append(out, float32(v))
	}
	return out
}
