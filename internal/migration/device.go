package migration

import "math"

const (
	minCalls = 0.01 // a zone with fewer decayed calls is dropped

	// A move back to a zone that the actor left less than recentCooldowns cooldowns ago counts as a return. The count is
	// reset once the actor has not moved for as long.
	recentCooldowns = 8

	maxDoublings = 6 // of the cooldown
)

// Device is the call and move history of an actor's device.
type Device struct {
	zone      string             // zone of the latest calls
	zoneSince float64            // time since which all calls came from zone
	calls     map[string]float64 // decayed number of calls by zone
	at        float64            // time of the latest call
	movedAt   float64            // time of the actor's latest move
	leftAt    map[string]float64 // time at which the actor left a zone
	returns   int                // recent moves back to a zone
	observed  bool
}

// ObserveCall records a call of the device from a zone.
func (d *Device) ObserveCall(zone string, now float64, r Rules) {
	if d.calls == nil {
		d.calls, d.leftAt = map[string]float64{}, map[string]float64{}
	}
	fade := math.Exp(-(now - d.at) / r.CallMemory)
	for z := range d.calls {
		if d.calls[z] *= fade; d.calls[z] < minCalls {
			delete(d.calls, z)
		}
	}
	if d.at = now; d.zone != zone || !d.observed {
		d.zone, d.zoneSince, d.observed = zone, now, true
	}
	d.calls[zone]++
}

// settled returns the zone in which the device has settled, and whether it has.
func (d *Device) settled(now float64, r Rules) (string, bool) {
	total := 0.0
	for _, n := range d.calls {
		total += n
	}
	if !d.observed || total == 0 || now-d.zoneSince < r.Dwell || d.calls[d.zone] < r.MinCallShare*total {
		return "", false
	}
	return d.zone, true
}

// cooldown returns the minimum time between the actor's latest move and the next.
func (d *Device) cooldown(r Rules) float64 {
	return r.Cooldown * float64(int(1)<<min(d.returns, maxDoublings))
}

// RecordMove records that the actor moved from one zone to another.
func (d *Device) RecordMove(from, to string, now float64, r Rules) {
	if d.leftAt == nil {
		d.leftAt = map[string]float64{}
	}
	if at, ok := d.leftAt[to]; ok && now-at < recentCooldowns*d.cooldown(r) {
		d.returns++
	} else if now-d.movedAt > recentCooldowns*d.cooldown(r) {
		d.returns = 0
	}
	d.leftAt[from], d.movedAt = now, now
}
