package dispatch_test

import (
	"fmt"

	"gatetack/internal/dispatch"
)

// A host passes events to a Dispatcher and carries out the returned actions. Here, a node with one executor gets a
// request and its outcome. After the executor was removed, the node rejects the next request.
func Example() {
	settings := dispatch.Settings{
		Nodes:       1,
		MaxAttempts: 2, OverloadMultiple: 3,
		Classes: []dispatch.Class{
			{Objective: 400, Deadline: 5000, PriorityWeight: 1, RetrySafety: dispatch.Idempotent, Kind: -1},
		},
	}
	d, err := dispatch.New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var actions []dispatch.Action
	carryOut := func(now float64, events ...dispatch.Event) {
		actions = d.Step(now, events, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case dispatch.ActSend:
				fmt.Printf("%.0f ms: send job %d to executor %d\n", now, a.Job, a.Executor)
			case dispatch.ActReject:
				fmt.Printf("%.0f ms: reject job %d\n", now, a.Job)
			case dispatch.ActFail:
				fmt.Printf("%.0f ms: fail job %d\n", now, a.Job)
			case dispatch.ActTimer:
				// A real host delivers EvTimer with a.Token after a.For ms.
			}
		}
	}
	carryOut(1000, dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListCached,
		Updates: []dispatch.EndpointUpdate{{Executor: 7, Condition: dispatch.Ready, Weight: 1}}})
	carryOut(1010, dispatch.Event{Kind: dispatch.EvRequest, Job: 1, TimeLeft: 5000, Slots: 1})
	carryOut(1300, dispatch.Event{Kind: dispatch.EvOutcome, Job: 1, Executor: 7, Outcome: dispatch.Served, Final: true})
	carryOut(1400, dispatch.Event{Kind: dispatch.EvEndpoints, Form: dispatch.ListSnapshot}) // the executor was removed
	carryOut(1500, dispatch.Event{Kind: dispatch.EvRequest, Job: 2, TimeLeft: 10, Slots: 1})
	// Output:
	// 1010 ms: send job 1 to executor 7
	// 1500 ms: reject job 2
}
