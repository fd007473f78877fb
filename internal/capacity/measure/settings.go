package measure

import (
	"fmt"
	"slices"

	"gatetack/internal/dispatch"
)

// QuotaChangeMicros returns the processor time, in microseconds, that the decision module needs to apply one changed
// quota. Reading and validating the configuration is not included.
func QuotaChangeMicros(f Fleet) (float64, error) {
	d, err := newDispatcher(f)
	if err != nil {
		return 0, err
	}
	d.fill()
	settings := f.settings()
	settings.Tenants = slices.Clone(settings.Tenants)
	const changesPerRound = 20
	used, err := perOperation(func() error {
		for range changesPerRound {
			settings.Tenants[d.random.IntN(len(settings.Tenants))].Quota = 1 + d.random.Float64()*1e6
			if err := d.module.UpdateSettings(settings, map[int]int{}); err != nil {
				return fmt.Errorf("measure: %w", err)
			}
			d.now++
			d.step(dispatch.Event{Kind: dispatch.EvTimer})
		}
		return nil
	})
	return used.Seconds() * 1e6 / changesPerRound, err
}
