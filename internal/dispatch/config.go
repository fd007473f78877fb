package dispatch

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// UpdateSettings applies the Classes, ClassPositions, Tenants, MaxAttempts, MaxRetryAfter, Fees, OverQuotaWeight and
// WeightByWork of s while jobs are open; all other settings stay as passed to New. A class or tenant keeps its index
// for as long as it exists. A new one is appended, or replaces one without open jobs. The map from gives, for the index
// of a class with new rules, the index of the class whose statistics it inherits; without an entry it starts with empty
// statistics. Open jobs keep the rules under which they arrived: their class must not change, and their maximum number
// of attempts stays. On an error, which names what cannot be applied, nothing is changed.
func (d *Dispatcher) UpdateSettings(s Settings, from map[int]int) error {
	next := d.settings
	next.Classes, next.ClassPositions, next.Tenants = s.Classes, s.ClassPositions, s.Tenants
	next.MaxAttempts, next.MaxRetryAfter, next.Fees = s.MaxAttempts, s.MaxRetryAfter, s.Fees
	next.OverQuotaWeight, next.WeightByWork = s.OverQuotaWeight, s.WeightByWork
	if err := next.check(); err != nil {
		return err
	}
	if err := d.checkUpdate(&next); err != nil {
		return err
	}
	d.updateClasses(&next, from)
	if !slices.Equal(next.ClassPositions, d.settings.ClassPositions) {
		d.dropClassQuarantines()
	}
	d.settings = next
	d.admission.setTenants(next.Tenants)
	d.needsPlacement = true
	return nil
}

// checkUpdate returns an error if next, which is valid by itself, cannot replace the current settings.
func (d *Dispatcher) checkUpdate(next *Settings) error {
	was := &d.settings
	switch {
	case len(next.Classes) < len(was.Classes) || len(next.Classes) > math.MaxUint8:
		return fmt.Errorf("dispatch: cannot change the number of classes to %d from %d: it must not shrink or exceed %d",
			len(next.Classes), len(was.Classes), math.MaxUint8)
	case next.ClassPositions != nil && len(next.ClassPositions) != len(next.Classes):
		return fmt.Errorf("dispatch: %d positions for %d classes", len(next.ClassPositions), len(next.Classes))
	case len(next.Tenants) < len(was.Tenants) || len(next.Tenants) > math.MaxUint16 ||
		len(was.Tenants) == 0 && len(next.Tenants) > 0:
		return fmt.Errorf("dispatch: cannot change the number of tenants to %d from %d", len(next.Tenants), len(was.Tenants))
	}
	for _, job := range d.jobs.byID {
		if next.Classes[job.class] != was.Classes[job.class] {
			return fmt.Errorf("dispatch: rules of class %d cannot change while it has open jobs", job.class)
		}
	}
	return nil
}

// updateClasses sets the initial statistics of each class whose rules are new.
func (d *Dispatcher) updateClasses(next *Settings, from map[int]int) {
	known, knownFailing := d.serviceTimes.classes, d.outliers.failingClasses
	classes, failing := make([]classStats, len(next.Classes)), make([]bool, len(next.Classes))
	for i, c := range next.Classes {
		if i < len(known) && c == d.settings.Classes[i] {
			classes[i], failing[i] = known[i], knownFailing[i]
			continue
		}
		classes[i] = newClassStats(c)
		if k, ok := from[i]; ok && k >= 0 && k < len(known) {
			classes[i], failing[i] = known[k], knownFailing[k]
		}
		for _, executor := range d.endpoints.byID {
			executor.failures.resetClass(i)
		}
	}
	d.serviceTimes.classes, d.outliers.failingClasses = classes, failing
}

// check returns an error that names the first invalid setting.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("dispatch: requestClasses.count: got no classes, want at least 1")
	}
	if s.Nodes < 1 {
		return fmt.Errorf("dispatch: balancers: %d is under 1", s.Nodes)
	}
	if s.MaxAttempts < 1 {
		return fmt.Errorf("dispatch: limits.maxAttempts: %d is under 1", s.MaxAttempts)
	}
	for _, number := range s.numericSettings() {
		if !(number.value >= 0) || math.IsInf(number.value, 0) {
			return fmt.Errorf("dispatch: %s: got %v, want a finite number of at least 0", number.key, number.value)
		}
	}
	if s.OverloadMultiple == 0 {
		return errors.New("dispatch: invariants.fallMultiple: got 0, which excludes all executors that are warming up")
	}
	return nil
}

// numericSetting is the value of a numeric setting with its key in the settings document.
type numericSetting struct {
	key   string
	value float64
}

// numericSettings returns the settings that must be finite and not negative.
func (s *Settings) numericSettings() []numericSetting {
	numbers := []numericSetting{
		{"step", s.MinStepInterval},
		{"overShareWorth", s.OverQuotaWeight},
		{"familyInfo.progress", s.ProgressInterval},
		{"limits.connIdle", s.ConnIdleTimeout},
		{"limits.connectTimeout", s.ConnectTimeout},
		{"limits.maxRetryAfter", s.MaxRetryAfter},
		{"invariants.answerSlack", s.AnswerSlack},
		{"invariants.askWithin", s.MaxPollInterval},
		{"invariants.drainGrace", s.DrainGrace},
		{"invariants.fall", s.OverloadWindow},
		{"invariants.coldFrom", s.SlowStartMinShare},
		{"invariants.warmWithin", s.MaxSlowStartDuration},
		{"fees.crossZone", s.Fees.CrossZone},
		{"fees.handshake", s.Fees.Handshake},
		{"fees.origin", s.Fees.Origin},
		{"invariants.fallMultiple", s.OverloadMultiple},
	}
	for i, class := range s.Classes {
		key := fmt.Sprintf("requestClasses.%d.", i)
		numbers = append(numbers, numericSetting{key + "aim", class.Objective},
			numericSetting{key + "deadline", class.Deadline},
			numericSetting{key + "worth", class.PriorityWeight}, numericSetting{key + "window", class.DedupWindow},
			numericSetting{key + "aimStretch", class.ObjectivePerWork})
	}
	for i, tenant := range s.Tenants {
		key := fmt.Sprintf("tenants.%d.", i)
		numbers = append(numbers, numericSetting{key + "portion", tenant.ReservedShare},
			numericSetting{key + "quotaRps", tenant.Quota})
	}
	return numbers
}
