package main

import (
	"context"
	"errors"
	"slices"
	"testing"
)

func TestLifetimeOutlivesItsParentContext(t *testing.T) {
	parent, cancel := context.WithCancel(t.Context())
	parts := newLifetime(parent)
	cancel()
	if err := parts.ctx.Err(); err != nil {
		t.Errorf("the components were stopped with the parent context: %v", err)
	}
	parts.stop()
	if err := parts.wait(); err != nil {
		t.Error(err)
	}
}

// Closers run in reverse order after the last goroutine has ended.
func TestLifetimeClosesInReverseOrderAfterGoroutines(t *testing.T) {
	parts := newLifetime(t.Context())
	var order []string
	parts.onEnd(func() { order = append(order, "first") })
	parts.onEnd(func() { order = append(order, "second") })
	parts.start(func(ctx context.Context) error {
		<-ctx.Done()
		order = append(order, "goroutine")
		return nil
	})
	parts.stop()
	if err := parts.wait(); err != nil {
		t.Fatal(err)
	}
	if want := []string{"goroutine", "second", "first"}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}

func TestLifetimeStopsAllComponentsWhenOneFails(t *testing.T) {
	parts := newLifetime(t.Context())
	failed := errors.New("the listener failed")
	parts.start(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	parts.start(func(context.Context) error { return failed })
	if err := parts.wait(); !errors.Is(err, failed) {
		t.Errorf("error %v, want %v", err, failed)
	}
}
