package brain_test

import (
	"fmt"

	"gatetack/brain"
)

// A host feeds events in and carries actions out. Here a node with one worker gets a request, is told that
// it was served, and has nothing left to answer.
func Example() {
	settings := brain.Settings{
		Balancers:   1,
		MaxAttempts: 2, FallMultiple: 3,
		Classes: []brain.Class{{Aim: 400, Deadline: 5000, Worth: 1, Effect: brain.Safe, Kind: -1}},
	}
	d, err := brain.New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []brain.Action
	carryOut := func(now float64, events ...brain.Event) {
		actions = d.Step(now, events, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case brain.ActSend:
				fmt.Printf("%.0f ms: send job %d to worker %d\n", now, a.Job, a.Worker)
			case brain.ActRefuse:
				fmt.Printf("%.0f ms: refuse job %d\n", now, a.Job)
			case brain.ActFail:
				fmt.Printf("%.0f ms: fail job %d\n", now, a.Job)
			case brain.ActTimer:
				// A real host delivers EvTimer with a.Token after a.For ms.
			}
		}
	}
	carryOut(1000, brain.Event{Kind: brain.EvList, Form: brain.ListCached,
		Rows: []brain.Row{{Worker: 7, Condition: brain.Ready, Scale: 1}}})
	carryOut(1010, brain.Event{Kind: brain.EvRequest, Job: 1, TimeLeft: 5000, Slots: 1})
	carryOut(1300, brain.Event{Kind: brain.EvOutcome, Job: 1, Worker: 7, Outcome: brain.Served, Final: true})
	carryOut(1400, brain.Event{Kind: brain.EvList, Form: brain.ListFull}) // the worker has left
	carryOut(1500, brain.Event{Kind: brain.EvRequest, Job: 2, TimeLeft: 10, Slots: 1})
	// Output:
	// 1010 ms: send job 1 to worker 7
	// 1500 ms: refuse job 2
}
