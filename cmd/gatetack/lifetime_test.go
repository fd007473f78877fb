package main

import (
	"context"
	"errors"
	"slices"
	"testing"
)

func TestLifetimeOutlivesItsParentContext(t *testing.T) {
	parent, cancel := context.WithCancel(t.Context())
	life := newLifetime(parent)
	cancel()
	if err := life.ctx.Err(); err != nil {
		t.Errorf("the parts were ended with the parent: %v", err)
	}
	life.stop()
	if err := life.wait(); err != nil {
		t.Error(err)
	}
}

// Closers run after the last goroutine has ended, last opened first.
func TestLifetimeClosesInReverseOrderAfterGoroutines(t *testing.T) {
	life := newLifetime(t.Context())
	var order []string
	life.onEnd(func() { order = append(order, "first") })
	life.onEnd(func() { order = append(order, "second") })
	life.start(func(ctx context.Context) error {
		<-ctx.Done()
		order = append(order, "goroutine")
		return nil
	})
	life.stop()
	if err := life.wait(); err != nil {
		t.Fatal(err)
	}
	if want := []string{"goroutine", "second", "first"}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}

func TestLifetimeEndsAllPartsWhenOneFails(t *testing.T) {
	life := newLifetime(t.Context())
	failed := errors.New("the listener failed")
	life.start(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	life.start(func(context.Context) error { return failed })
	if err := life.wait(); !errors.Is(err, failed) {
		t.Errorf("error %v, want %v", err, failed)
	}
}
