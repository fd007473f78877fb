package dispatch

import (
	"fmt"
	"testing"
)

// BenchmarkJob measures one job in a large fleet that serves immediately: its request, its send and its outcome.
func BenchmarkJob(b *testing.B) {
	for _, executors := range []int{1000, 6200, 20000} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			s := base()
			s.Nodes = 300
			d, err := New(s, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := 100000.0
			actions := d.Step(now, []Event{{Kind: EvEndpoints, Form: ListCached, Updates: fleet(executors)}}, nil)
			for id := uint32(1); id <= uint32(b.N); id++ {
				now += 10
				events := []Event{request(id, 0, 0, 1)}
				for {
					actions = d.Step(now, events, actions[:0])
					events = events[:0]
					for _, a := range actions {
						if a.Kind == ActSend {
							events = append(events, outcome(a.Job, 0, a.Executor, Served))
						}
					}
					if len(events) == 0 {
						break
					}
				}
			}
		})
	}
}
