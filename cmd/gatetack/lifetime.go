package main

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"
)

// lifetime owns the goroutines of a process's parts. They run until stop is called or one of them fails; wait waits for
// all of them and then closes, in the reverse order of opening, what they used.
type lifetime struct {
	ctx     context.Context
	stop    context.CancelFunc
	group   *errgroup.Group
	closers []func()
}

// newLifetime returns a lifetime that does not end with ctx: a process that is notified to leave goes on until all
// that it has accepted is answered.
func newLifetime(ctx context.Context) *lifetime {
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	group, ctx := errgroup.WithContext(ctx)
	return &lifetime{ctx: ctx, stop: stop, group: group}
}

// start runs a part in a goroutine of its own.
func (l *lifetime) start(run func(context.Context) error) {
	l.group.Go(func() error { return run(l.ctx) })
}

// onEnd has a function called once all goroutines have ended.
func (l *lifetime) onEnd(closer func()) {
	l.closers = append(l.closers, closer)
}

// wait returns the first error of a part, once all have ended.
func (l *lifetime) wait() error {
	err := l.group.Wait()
	l.stop()
	for _, closer := range slices.Backward(l.closers) {
		closer()
	}
	return err
}
