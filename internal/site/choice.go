package site

import (
	"fmt"

	"gatetack/internal/operr"
)

// Term is the cost of a zone for a job.
type Term struct {
	Zone                      int
	Transfer, Wait, Run, Done float64 // ms
	Bytes                     float64 // to be transferred
	Price                     float64 // on the module's scale
	Feasible                  bool    // it can end there before its deadline
	moves                     float64 // ms that links are occupied by it
}

func (t Term) String() string {
	return fmt.Sprintf("hall %d: data %.0f ms, wait %.0f ms, run %.0f ms", t.Zone, t.Transfer, t.Wait, t.Run)
}

// Choice is a decision.
type Choice struct {
	Zone  int
	Terms []Term  // of all zones, the best first
	Until float64 // ms, by the node's clock, until which it is valid
	Work  float64 // reserved
}

// Why returns the reason of the decision in one line.
func (c Choice) Why() string {
	if len(c.Terms) == 0 {
		return "no hall takes work"
	}
	text := c.Terms[0].String()
	if len(c.Terms) > 1 {
		text += "; next " + c.Terms[1].String()
	}
	return text
}

// NoZoneError reports that no zone can run a job in time.
type NoZoneError struct{ Best Term }

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
	for _, t := range c.Terms {
		worst = max(worst, t.Price)
	}
	for i := range out {
		out[i] = worst + 1
	}
	for _, t := range c.Terms {
		out[t.Zone] = t.Price - c.Terms[0].Price
	}
	return out
}
