package node

import (
	"math"
	"slices"
	"time"
)

// Names holds the names of the settings, each at the index by which the dispatch module counts it.
type Names struct {
	Classes, Tenants, Zones, Kinds, Fields []string // a class that the settings no longer contain has the empty name

	Retired []RetiredClass
}

// Class returns the index of a class by its name. It also finds a class that was retired recently.
func (n *Names) Class(name string) (int, bool) {
	if name == "" {
		return -1, false
	}
	if i := slices.Index(n.Classes, name); i >= 0 {
		return i, true
	}
	i := slices.IndexFunc(n.Retired,
		func(x RetiredClass) bool { return x.Name == name && time.Now().Before(x.AcceptedUntil) })
	if i < 0 {
		return -1, false
	}
	return n.Retired[i].Class, true
}

// Tenant returns the index of a tenant by its name.
func (n *Names) Tenant(name string) (int, bool) { i := slices.Index(n.Tenants, name); return i, i >= 0 }

// loadReportAliases maps the name of a field in the settings to its name in load reports, where they differ.
var loadReportAliases = map[string]string{"pending": "queue", "busy_reqs": "inflight", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps"}

// LoadReport returns the values of a load report in the order of the settings' fields, with NaN for a missing value
// that others follow. It returns nil if the report has none of the fields.
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
