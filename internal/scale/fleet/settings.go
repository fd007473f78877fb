package fleet

import (
	"encoding/json"
	"fmt"
	"time"
)

// Classes of tasks, by their index in the settings.
const (
	ClassOnce   = iota // runs at most once
	ClassKeyed         // repeats are deduplicated within a rack during Rules.DedupWindow
	ClassUrgent        // idempotent, and should start within UrgentStartTarget
	Classes
)

// ClassNames are the names of the classes, which are also the first segments of the paths of their tasks.
var ClassNames = [Classes]string{"once", "keyed", "urgent"}

// Rules are the parameters of the rules in the settings, by which a run is judged.
type Rules struct {
	AnswerSlack       time.Duration // how long after a request's deadline an answer still counts
	DrainGrace        time.Duration // how long jobs may still be sent to a draining executor
	SlowStartMinShare float64       // share of its capacity that an executor has at its start
	SlowStartDuration time.Duration // time after its start at which an executor has its full capacity
	OverloadMultiple  float64       // how many times its capacity a cold executor may be sent
	OverloadWindow    time.Duration // time window for OverloadMultiple
	DedupWindow       time.Duration // how long repeats of a keyed task are deduplicated
	Deadlines         [Classes]time.Duration
	MaxRetryAfter     time.Duration // longest Retry-After of a rejected request
}

// Minimum deadlines of the classes. Longer tasks have longer deadlines.
const (
	minDeadline      = 8 * time.Second
	urgentDeadline   = 6 * time.Second
	deadlineMeanRuns = 4 // deadline in mean running times; a task runs for at most three
)

// Rules returns the rules of the described fleet.
func (d *Description) Rules() Rules {
	run := d.MeanRun()
	long := max(minDeadline, deadlineMeanRuns*run)
	return Rules{AnswerSlack: 16 * time.Millisecond, DrainGrace: 500 * time.Millisecond, SlowStartMinShare: 0.3, SlowStartDuration: 8400 * time.Millisecond,
		OverloadMultiple: 2.5, OverloadWindow: max(2*time.Second, 2*run), DedupWindow: max(40*time.Second, 2*long),
		Deadlines: [Classes]time.Duration{long, long, max(urgentDeadline, long/2)}, MaxRetryAfter: 2 * time.Second}
}

// UrgentStartTarget is the operators' target for the time from when an urgent task is due until it starts.
const UrgentStartTarget = 2200 * time.Millisecond

// ReservedShare returns the reserved share of each tenant. All tenants have equal shares.
func (d *Description) ReservedShare() float64 { return 1 / float64(d.Tenants) }

type object = map[string]any

func millis(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

// minProgressInterval is the minimum time between two progress notifications of a running task.
const minProgressInterval = time.Second

// ProgressInterval returns the time between two progress notifications of a running task. It grows with the number of running tasks,
// so that all together send at most maxProgressReportsPerSecond.
func (d *Description) ProgressInterval() time.Duration {
	return max(minProgressInterval, time.Duration(d.Running)*time.Second/maxProgressReportsPerSecond)
}

const maxProgressReportsPerSecond = 2000

// ChangeClass returns the name of the class that a configuration change adds; each change removes the class of the one before. No
// task uses it. A dispatcher that knows the class has applied the change, which can be observed from outside.
func ChangeClass(change int) string { return fmt.Sprintf("change-%d", change) }

func changeFields() object {
	return object{"aim": millis(minDeadline), "deadline": millis(minDeadline), "worth": 1.0, "effect": "free", "dedupScope": "cell", "window": 0.0}
}

// ChangeItems returns a change in the form of the settings in the store: it adds the change's class and removes the previous one.
func ChangeItems(change int) ([]byte, error) {
	items := object{"class/" + ChangeClass(change): changeFields()}
	if change > 1 { // the class of the initial configuration stays
		items["class/"+ChangeClass(change-1)] = nil
	}
	text, err := json.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("change %d: %w", change, err)
	}
	return text, nil
}

// Settings returns the settings of one dispatcher in the platform's format, after the given number of changes.
func (d *Description) Settings(dispatcher, changes int) object {
	rules := d.Rules()
	zones := make([]string, d.Zones())
	for i := range zones {
		zones[i] = d.ZoneName(i)
	}
	tenants := make([]object, d.Tenants)
	for i := range tenants {
		tenants[i] = object{"name": TenantName(i), "portion": d.ReservedShare(), "quotaRps": 2 * max(d.Starts, d.StartsTo) * d.ReservedShare()}
	}
	effects := [Classes]string{"single_shot", "guarded", "free"}
	worth := [Classes]float64{8, 8, 24}
	classes := make([]object, Classes)
	for i := range classes {
		aim := rules.Deadlines[i] / 2
		if i == ClassUrgent {
			aim = UrgentStartTarget
		}
		classes[i] = object{"name": ClassNames[i], "aim": millis(aim), "deadline": millis(rules.Deadlines[i]), "worth": worth[i],
			"effect": effects[i], "dedupScope": "cell", "window": millis(rules.DedupWindow)}
	}
	change := changeFields()
	change["name"] = ChangeClass(changes)
	classes = append(classes, change)
	return object{
		"me": dispatcher, "balancers": d.TotalDispatchers(), "zone": d.DispatcherZone(dispatcher), "zones": zones, "kinds": Kinds, "step": 4.0,
		"discovery": "subscribe", "weights": "rough", "workload": "jobs", "worthBy": "request", "overShareWorth": 0.2,
		"telemetry": object{"how": "piggyback", "fields": []string{"pending", "x0"}},
		"familyInfo": object{"classKind": []float64{-1, -1, -1, -1}, "classStretch": []float64{2, 2, 2, 2}, "reportX0": "free slots",
			"tellsStart": true, "progress": millis(d.ProgressInterval())},
		"fees": object{"crossZone": 0.03},
		"limits": object{"cancelling": true, "connIdle": 60000.0, "connectTimeout": 250.0, "maxAttempts": 3, "maxOpen": 20000,
			"maxRetryAfter": millis(rules.MaxRetryAfter), "mayDuplicate": true, "multiplex": 1, "peers": true, "probing": true, "retryAfter": true},
		"invariants": object{"answerSlack": millis(rules.AnswerSlack), "askWithin": 10000.0, "coldFrom": rules.SlowStartMinShare,
			"drainGrace": millis(rules.DrainGrace), "fall": millis(rules.OverloadWindow), "fallMultiple": rules.OverloadMultiple,
			"warmWithin": millis(rules.SlowStartDuration)},
		"requestClasses": classes, "tenants": tenants,
	}
}

// Addresses are the addresses that one dispatcher listens on and connects to.
type Addresses struct {
	Listen, Discovery, PeerListen, PeersAll string
	Peers                                   []string
}

// Config returns the configuration file of one dispatcher, after the given number of changes.
func (d *Description) Config(dispatcher, changes int, at Addresses) ([]byte, error) {
	text, err := json.Marshal(object{
		"name": DispatcherName(dispatcher), "listen": at.Listen, "discovery": at.Discovery,
		"seed":        fmt.Sprintf("%016x", d.Seed*0x9e3779b97f4a7c15+uint64(dispatcher)),
		"limits":      object{"cores": 1.0, "memory_mb": d.MemoryMB, "sockets": d.Sockets},
		"peer_listen": at.PeerListen, "peers": at.Peers, "peers_all": at.PeersAll, "settings": d.Settings(dispatcher, changes),
	})
	if err != nil {
		return nil, fmt.Errorf("configuration of dispatcher %d: %w", dispatcher, err)
	}
	return text, nil
}
