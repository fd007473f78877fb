package migration

import "math"

const (
	minCalls = 0.01 // decayed calls under which a zone is forgotten

	// An actor that comes back to a zone within recentCooldowns cooldowns returns; one that stays put for as long has no
	// returns any more.
	recentCooldowns = 8

	maxDoublings = 6 // of the cooldown, by returns
)

// Device is the history of an actor's device.
type Device struct {
	zone      string // of the latest calls
	zoneSince float64
	calls     map[string]float64 // by zone, decaying
	at        float64            // of the latest call
	movedAt   float64
	leftAt    map[string]float64 // by zone, when the actor left it
	returns   int
	observed  bool
}

// ObserveCall records a call that came through a zone.
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

// settled returns the zone in which the device has settled, if it has.
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

// cooldown is how long the actor stays after its last move.
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
