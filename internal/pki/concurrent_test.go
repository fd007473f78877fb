package pki

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// concurrently runs a function several times at once and reports its errors.
func concurrently(t *testing.T, n int, run func(i int) error) {
	t.Helper()
	var g sync.WaitGroup
	for i := range n {
		g.Go(func() {
			if err := run(i); err != nil {
				t.Error(err)
			}
		})
	}
	g.Wait()
}

// Certificates that are revoked at the same time are all on the list afterwards.
func TestRevocationsAtTheSameTime(t *testing.T) {
	dir := t.TempDir()
	const revocations = 20
	concurrently(t, revocations, func(i int) error { return Revoke(dir, fmt.Sprintf("%x", i+1)) })
	list, err := readRevoked(filepath.Join(dir, revokedFile))
	if err != nil || len(list) != revocations {
		t.Errorf("%d of %d certificates are revoked: %v", len(list), revocations, err)
	}
}

// A certificate that is renewed several times at once leaves a key with its own certificate.
func TestRenewalsAtTheSameTime(t *testing.T) {
	ca, out := t.TempDir(), t.TempDir()
	now := time.Now()
	if err := Init(ca, "authority", time.Hour, now); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		concurrently(t, 8, func(int) error { return Issue(ca, out, "n0", time.Minute, now) })
		if _, err := os.Stat(filepath.Join(out, renewalFile)); err == nil {
			t.Fatal("the renewal file remains")
		}
		if _, err := Open(out, func(error) {}); err != nil {
			t.Fatal(err)
		}
	}
}
