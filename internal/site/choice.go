package site

import (
	"fmt"

	"gatetack/internal/operr"
)

// ZoneCost is the cost of a zone for a job.
type ZoneCost struct {
	Zone                       int
	Transfer, Wait, Run, Total float64 // ms
	Bytes                      float64 // to be transferred
	Price                      float64 // on the module's scale
	Feasible                   bool    // it can end there before its deadline
	linkTime                   float64 // ms that links are occupied by it
}

func (t ZoneCost) String() string {
	return fmt.Sprintf("hall %d: data %.0f ms, wait %.0f ms, run %.0f ms", t.Zone, t.Transfer, t.Wait, t.Run)
}

// Choice is a decision.
type Choice struct {
	Zone       int
	Costs      []ZoneCost // of all zones, the best first
	ValidUntil float64    // ms, by the node's clock, until which it is valid
	Work       float64    // reserved
}

// Reason returns the reason of the decision in one line.
func (c Choice) Reason() string {
	if len(c.Costs) == 0 {
		return "no hall takes work"
	}
	text := c.Costs[0].String()
	if len(c.Costs) > 1 {
		text += "; next " + c.Costs[1].String()
	}
	return text
}

// NoZoneError reports that no zone can run a job in time.
type NoZoneError struct{ Best ZoneCost }

func (e *NoZoneError) Error() string {
	return fmt.Sprintf("site: no hall has the job done before its deadline; the best is %v", e.Best)
}

// Code is its kind.
func (*NoZoneError) Code() string { return "site.no_hall" }

// Do is what can be done.
func (*NoZoneError) Do() string {
	return "submit it with a later deadline, or copy its inputs to a hall with room first"
}

var _ = operr.Kind(&NoZoneError{})

// Prices returns the price of each zone for the decision module, on the scale of its price for crossing. A zone that takes no work has
// the worst.
func (c Choice) Prices(zones int) []float64 {
	out := make([]float64, zones)
	worst := 0.0
	for _, t := range c.Costs {
		worst = max(worst, t.Price)
	}
	for i := range out {
		out[i] = worst + 1
	}
	for _, t := range c.Costs {
		out[t.Zone] = t.Price - c.Costs[0].Price
	}
	return out
}
