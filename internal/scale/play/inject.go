package play

import (
	"context"
	"sync"
	"time"

	"gatetack/internal/scale/faults"
	"gatetack/internal/scale/hollow"
)

// inject carries out the actions of the faults at their times.
func (r *run) inject(ctx context.Context) {
	var background sync.WaitGroup
	defer background.Wait()
	for _, a := range r.actions {
		select {
		case <-time.After(time.Until(r.loadStart.Add(a.At))):
			if a.Kind == faults.KillLeader || a.Kind == faults.RestartLeader {
				background.Go(func() { r.act(ctx, a) })
				continue
			}
			r.act(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) act(ctx context.Context, a faults.Action) {
	switch a.Kind {
	case faults.Kill:
		for _, x := range a.Executors {
			r.executors.Kill(x)
		}
	case faults.Boot:
		for _, x := range a.Executors {
			if err := r.executors.Boot(x, true); err != nil {
				r.addNote("an executor did not restart: %v", err)
			}
		}
	case faults.ListDraining:
		r.discovery.Set(a.Executors, hollow.StatusDraining, time.Time{})
	case faults.ListRemoved:
		r.discovery.Set(a.Executors, hollow.StatusRemoved, time.Time{})
	case faults.ListReady:
		r.listReady(a.Executors)
	case faults.SetCut, faults.LiftCut:
		if a.Inward {
			r.cuts.Set(a.Region, hollow.Inward, a.Kind == faults.SetCut)
		}
		if a.Outward {
			r.cuts.Set(a.Region, hollow.Outward, a.Kind == faults.SetCut)
		}
	case faults.KillLeader:
		r.killLeader(ctx)
	case faults.RestartLeader:
		r.restartLeader(ctx)
	case faults.Change:
		r.changes.apply(ctx)
	}
}

// listReady lists the executors that are up as ready, with their start times.
func (r *run) listReady(executors []int) {
	byStart := map[time.Time][]int{}
	for _, x := range executors {
		if at, up := r.executors.Booted(x); up {
			byStart[at] = append(byStart[at], x)
		}
	}
	for at, group := range byStart {
		r.discovery.Set(group, hollow.StatusReady, at)
	}
}
