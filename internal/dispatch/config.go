package dispatch

import (
	"errors"
	"fmt"
	"math"
)

// UpdateSettings takes over new classes, tenants, attempts, prices and weights while jobs are open; all other settings stay
// as New had them. A class or tenant keeps its place for as long as it stands, and new ones come behind the last, or
// in the place of one of which nothing is open. From names, for the place of a class whose rules are new, the place
// of the class whose statistics it begins with; others begin with none. Open jobs keep the rules that they came
// under: their class may not change, and their attempts stay as many. An error names what cannot be taken over, and
// nothing is changed then.
func (d *Dispatcher) UpdateSettings(s Settings, from map[int]int) error {
	next := d.settings
	next.Classes, next.Tenants = s.Classes, s.Tenants
	next.MaxAttempts, next.MaxRetryAfter, next.Fees = s.MaxAttempts, s.MaxRetryAfter, s.Fees
	next.OverQuotaWeight, next.WeightByWork = s.OverQuotaWeight, s.WeightByWork
	if err := next.check(); err != nil {
		return err
	}
	if err := d.checkUpdate(&next); err != nil {
		return err
	}
	d.updateClasses(&next, from)
	d.settings = next
	d.admission.setTenants(next.Tenants)
	d.needsPlacement = true
	return nil
}

// checkUpdate says why settings that are valid by themselves cannot follow those in force.
func (d *Dispatcher) checkUpdate(next *Settings) error {
	was := &d.settings
	switch {
	case len(next.Classes) < len(was.Classes) || len(next.Classes) > math.MaxUint8:
		return fmt.Errorf("dispatch: %d classes in place of %d: places are kept, and %d at most",
			len(next.Classes), len(was.Classes), math.MaxUint8)
	case len(next.Tenants) < len(was.Tenants) || len(next.Tenants) > math.MaxUint16 ||
		len(was.Tenants) == 0 && len(next.Tenants) > 0:
		return fmt.Errorf("dispatch: %d tenants in place of %d: places are kept", len(next.Tenants), len(was.Tenants))
	}
	for _, job := range d.jobs.byID {
		if next.Classes[job.class] != was.Classes[job.class] {
			return fmt.Errorf("dispatch: class %d has open jobs, whose rules may not change", job.class)
		}
	}
	return nil
}

// updateClasses gives each class whose rules are new the statistics that it begins with.
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

// check names the first setting that no Dispatcher can work with.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("dispatch: requestClasses.count: no classes")
	}
	if s.Nodes < 1 {
		return fmt.Errorf("dispatch: balancers: %d is under 1", s.Nodes)
	}
	if s.MaxAttempts < 1 {
		return fmt.Errorf("dispatch: limits.maxAttempts: %d is under 1", s.MaxAttempts)
	}
	for _, number := range s.numericSettings() {
		if !(number.value >= 0) || math.IsInf(number.value, 0) {
			return fmt.Errorf("dispatch: %s: %v is not a number of 0 or more", number.key, number.value)
		}
	}
	if s.OverloadMultiple == 0 {
		return errors.New("dispatch: invariants.fallMultiple: 0 lets no executor that warms up be used")
	}
	return nil
}

// numericSetting is a number of the settings with its key in the settings document.
type numericSetting struct {
	key   string
	value float64
}

// numericSettings gives all of the settings that must be numericSettings of 0 or more.
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
		numbers = append(numbers, numericSetting{key + "aim", class.Objective}, numericSetting{key + "deadline", class.Deadline},
			numericSetting{key + "worth", class.PriorityWeight}, numericSetting{key + "window", class.DedupWindow},
			numericSetting{key + "aimStretch", class.ObjectivePerWork})
	}
	for i, tenant := range s.Tenants {
		key := fmt.Sprintf("tenants.%d.", i)
		numbers = append(numbers, numericSetting{key + "portion", tenant.ReservedShare}, numericSetting{key + "quotaRps", tenant.Quota})
	}
	return numbers
}
