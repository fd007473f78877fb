package site

import (
	"fmt"

	"gatetack/internal/operr"
)

// ZoneCost is the cost of a zone for a job.
type ZoneCost struct {
	Zone                       int
	Transfer, Wait, Run, Total float64 // ms
	Bytes                      float64 // bytes to transfer
	Price                      float64 // on the scale of the decision module
	Feasible                   bool    // whether the job can end there before its deadline
	linkTime                   float64 // ms for which its transfers occupy links
}

func (t ZoneCost) String() string {
	return fmt.Sprintf("hall %d: data %.0f ms, wait %.0f ms, run %.0f ms", t.Zone, t.Transfer, t.Wait, t.Run)
}

// Choice is the choice of a zone for a job.
type Choice struct {
	Zone       int
	Costs      []ZoneCost // of all suitable zones, best first
	ValidUntil float64    // end of its validity in ms, on the node's clock
	Work       float64    // reserved work in ms
}

// Reason returns the reason for the choice in one line.
func (c Choice) Reason() string {
	if len(c.Costs) == 0 {
		return "no hall accepts the job"
	}
	text := c.Costs[0].String()
	if len(c.Costs) > 1 {
		text += "; next " + c.Costs[1].String()
	}
	return text
}

// NoZoneError reports that no zone can run a job before its deadline.
type NoZoneError struct{ Best ZoneCost }

func (e *NoZoneError) Error() string {
	return fmt.Sprintf("site: no hall can finish the job before its deadline; the best is %v", e.Best)
}

// Code returns the stable code of the error.
func (*NoZoneError) Code() string { return "site.no_hall" }

// Remedy returns what an operator can do about the error.
func (*NoZoneError) Remedy() string {
	return "submit it with a later deadline, or copy its inputs to a hall with room first"
}

var _ = operr.Register(&NoZoneError{})

// Prices returns the price of each zone for the decision module, on the scale of its price for crossing zones. A zone
// that accepts no work has the highest price.
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
