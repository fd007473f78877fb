package main

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"
)

// lifetime owns the goroutines of a process's components. They run until stop is called or one of them fails. wait
// waits for all of them and then calls the closers in reverse order.
type lifetime struct {
	ctx     context.Context
	stop    context.CancelFunc
	group   *errgroup.Group
	closers []func()
}

// newLifetime returns a lifetime that does not end with ctx: a process that is asked to shut down continues until all
// requests that it has accepted are answered.
func newLifetime(ctx context.Context) *lifetime {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	group, ctx := errgroup.WithContext(ctx)
	return &lifetime{ctx: ctx, stop: stop, group: group}
}

// start runs a component in a new goroutine.
func (l *lifetime) start(run func(context.Context) error) {
	l.group.Go(func() error { return run(l.ctx) })
}

// onEnd registers a function that wait calls after all goroutines have ended.
func (l *lifetime) onEnd(closer func()) {
	l.closers = append(l.closers, closer)
}

// wait waits until all components have ended, runs the closers, and returns the first error of a component.
func (l *lifetime) wait() error {
	err := l.group.Wait()
	l.stop()
	for _, closer := range slices.Backward(l.closers) {
		closer()
	}
	return err
}
