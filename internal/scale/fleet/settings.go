package fleet

import (
	"encoding/json"
	"fmt"
	"time"
)

// Classes of tasks, by their place in the settings.
const (
	ClassOnce   = iota // must never run twice
	ClassKeyed         // a repeat is dropped inside a rack, for a while
	ClassUrgent        // may run any number of times, and is wanted at once
	Classes
)

// ClassNames are the names of the classes, and the first parts of their tasks' paths.
var ClassNames = [Classes]string{"once", "keyed", "urgent"}

// Rules are the figures of the rules that the settings state, and that a run is judged by.
type Rules struct {
	AnswerSlack       time.Duration // after a client's time an answer still counts
	DrainGrace        time.Duration // a draining executor may still be sent to
	SlowStartMinShare float64       // part of its capacity that an executor starts with
	SlowStartDuration time.Duration // and after which it has all of it
	OverloadMultiple  float64       // a cold executor takes so many times its capacity
	OverloadWindow    time.Duration // over such a span
	DedupWindow       time.Duration // in which a repeat of a keyed task is dropped
	Deadlines         [Classes]time.Duration
	MaxRetryAfter     time.Duration // the longest that a refused client is told to stay away
}

// Least deadlines of the classes; longer tasks have longer ones.
const (
	minDeadline      = 8 * time.Second
	urgentDeadline   = 6 * time.Second
	deadlineMeanRuns = 4 // mean runs, and three more are the longest that a task takes
)

// Rules of the described fleet.
func (d *Description) Rules() Rules {
	run := d.MeanRun()
	long := max(minDeadline, deadlineMeanRuns*run)
	return Rules{AnswerSlack: 16 * time.Millisecond, DrainGrace: 500 * time.Millisecond, SlowStartMinShare: 0.3, SlowStartDuration: 8400 * time.Millisecond,
		OverloadMultiple: 2.5, OverloadWindow: max(2*time.Second, 2*run), DedupWindow: max(40*time.Second, 2*long),
		Deadlines: [Classes]time.Duration{long, long, max(urgentDeadline, long/2)}, MaxRetryAfter: 2 * time.Second}
}

// UrgentStartTarget is how soon urgent work is to start, by the operators.
const UrgentStartTarget = 2200 * time.Millisecond

// ReservedShare is a tenant's reserved part of the service: all have the same.
func (d *Description) ReservedShare() float64 { return 1 / float64(d.Tenants) }

type object = map[string]any

func millis(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }

// minProgressInterval is the time between two reports of a running task's progress.
const minProgressInterval = time.Second

// ProgressInterval is longer where many tasks run, so that reports stay under progressMost a second.
func (d *Description) ProgressInterval() time.Duration {
	return max(minProgressInterval, time.Duration(d.Running)*time.Second/maxProgressReportsPerSecond)
}

const maxProgressReportsPerSecond = 2000

// ChangeClass names the class that a change of the configuration brings, in the place of the one that the change before brought. No
// task is of it: that a dispatcher knows its name shows from outside that the change is in force there.
func ChangeClass(change int) string { return fmt.Sprintf("change-%d", change) }

func changeFields() object {
	return object{"aim": millis(minDeadline), "deadline": millis(minDeadline), "worth": 1.0, "effect": "free", "dedupScope": "cell", "window": 0.0}
}

// ChangeItems gives a change as the store's settings take it: its class comes, and that of the change before goes.
func ChangeItems(change int) ([]byte, error) {
	items := object{"class/" + ChangeClass(change): changeFields()}
	if change > 1 { // the class that the base began with stays
		items["class/"+ChangeClass(change-1)] = nil
	}
	text, err := json.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("change %d: %w", change, err)
	}
	return text, nil
}

// Settings gives the settings of one dispatcher in the platform's form, as they are after so many changes.
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

// Addresses are where one dispatcher listens and whom it knows.
type Addresses struct {
	Listen, Discovery, PeerListen, PeersAll string
	Peers                                   []string
}

// Config gives one dispatcher's configuration file, as it is after so many changes.
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
