package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gatetack/internal/config"
	"gatetack/internal/node"
	"gatetack/internal/settings"
)

// noopTransport implements the interfaces that a core calls, without any effect.
type noopTransport struct{}

func (noopTransport) UpdateEndpoint(uint32, node.Endpoint, time.Time) {}
func (noopTransport) Send(node.Attempt)                               {}
func (noopTransport) Cancel(uint64)                                   {}
func (noopTransport) CheckHealth(uint32)                              {}
func (noopTransport) CloseIdle(uint32)                                {}
func (noopTransport) Watch(bool)                                      {}
func (noopTransport) Fetch()                                          {}
func (noopTransport) SendGossip(uint16, []byte)                       {}

// configOf returns a configuration with the given number of tenants, each with the given quota.
func configOf(t testing.TB, tenants int, quota float64) *config.Config {
	t.Helper()
	var list []map[string]any
	for i := range tenants {
		list = append(list, map[string]any{"name": fmt.Sprintf("tenant-%04d", i), "portion": 0.01, "quotaRps": quota})
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "settings": map[string]any{
		"balancers":  1,
		"step":       4,
		"limits":     map[string]any{"maxAttempts": 3},
		"invariants": map[string]any{"fallMultiple": 2.5},
		"requestClasses": []map[string]any{
			{"name": "tile", "aim": 400, "deadline": 7500, "effect": "free"},
		},
		"tenants": list,
	}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startApplier runs a core with an applier until the test ends.
func startApplier(t testing.TB, c *config.Config) *settingsApplier {
	t.Helper()
	core, err := node.New(c.Settings, 1, node.EndpointList{}, c.Names, c.Limits, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	core.Connect(noopTransport{}, noopTransport{}, noopTransport{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- core.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("the core stopped with error %v", err)
		}
	})
	return &settingsApplier{
		core:          core,
		limits:        c.Limits,
		shutdownGrace: &atomic.Int64{},
		base:          *c,
		document:      settings.NewDocument(),
	}
}

// quotaDocument returns a document with an item for each tenant of a configuration.
func quotaDocument(t testing.TB, tenants int, version uint64, quota int) *settings.Document {
	t.Helper()
	u := settings.Update{Version: version, Snapshot: true}
	for i := range tenants {
		u.Changes = append(
			u.Changes,
			settings.Change{
				Key:   fmt.Sprintf("tenant/tenant-%04d", i),
				Value: json.RawMessage(fmt.Sprintf(`{"quotaRps":%d}`, quota)),
			},
		)
	}
	d, err := settings.NewDocument().Apply(u)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// quotas returns the active quotas of the tenants.
func quotas(core *node.Core) (out []float64) {
	for _, t := range core.Rules().Settings.Tenants {
		out = append(out, t.Quota)
	}
	return out
}

// After concurrent updates of the base configuration and the document, the active settings are the last base with the
// last document merged in.
func TestConcurrentBaseAndDocumentUpdatesConverge(t *testing.T) {
	const rounds = 50
	applier := startApplier(t, configOf(t, 3, 1))
	var crossing sync.WaitGroup
	crossing.Go(func() {
		for n := range rounds {
			if _, err := applier.replaceBase(t.Context(), configOf(t, 3, float64(100+n))); err != nil {
				t.Error(err)
			}
		}
	})
	crossing.Go(func() {
		for n := range rounds {
			if err := applier.Activate(t.Context(), quotaDocument(t, 2, uint64(n+1), 200+n)); err != nil {
				t.Error(err)
			}
		}
	})
	crossing.Wait()
	if got, want := quotas(
		applier.core,
	), []float64{
		200 + rounds - 1,
		200 + rounds - 1,
		100 + rounds - 1,
	}; !slices.Equal(
		got,
		want,
	) {
		t.Errorf("active quotas: %v, want %v", got, want)
	}
	if got := applier.baseConfig().Settings.Tenants[0].Quota; got != 100+rounds-1 {
		t.Errorf("quota in the base is %v, want the last one", got)
	}
}

// An invalid document, or a base that is invalid together with the document, is rejected and changes nothing.
func TestApplierRejectsUnusableSettings(t *testing.T) {
	applier := startApplier(t, configOf(t, 2, 1))
	valid, err := settings.NewDocument().Apply(settings.Update{Version: 1, Snapshot: true,
		Changes: []settings.Change{{Key: "tenant/tenant-0001", Value: json.RawMessage(`{"quotaRps":7}`)}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := applier.Activate(t.Context(), valid); err != nil {
		t.Fatal(err)
	}
	before := applier.core.Rules()
	invalid, err := valid.Apply(
		settings.Update{
			From:    1,
			Version: 2,
			Changes: []settings.Change{{Key: "class/new", Value: json.RawMessage(`{"worth":1}`)}},
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	if err := applier.Activate(
		t.Context(),
		invalid,
	); err == nil ||
		!strings.Contains(err.Error(), "class/new: deadline: absent") {
		t.Errorf("invalid document: got error %v", err)
	}
	if _, err := applier.replaceBase(
		t.Context(),
		configOf(t, 1, 1),
	); err == nil ||
		!strings.Contains(err.Error(), "tenant/tenant-0001: portion: absent") {
		t.Errorf("base without the tenant of an item: got error %v", err)
	}
	if !reflect.DeepEqual(applier.core.Rules(), before) || applier.document != valid ||
		len(applier.baseConfig().Names.Tenants) != 2 {
		t.Error("a rejected change has changed the active settings, the document or the base")
	}
}

// A change of more classes than the table of rules has space for, in addition to the previous rules that open jobs may
// still use, fails validation.
func TestValidateCountsRulesOfOpenJobs(t *testing.T) {
	const classes = 200
	applier := startApplier(t, configOf(t, 1, 1))
	document := func(version uint64, changed int) *settings.Document {
		u := settings.Update{Version: version, Snapshot: true}
		for i := range classes {
			worth := 1
			if i < changed {
				worth = 2
			}
			u.Changes = append(u.Changes, settings.Change{Key: fmt.Sprintf("class/c%03d", i),
				Value: json.RawMessage(fmt.Sprintf(`{"deadline":5000,"effect":"free","worth":%d}`, worth))})
		}
		d, err := settings.NewDocument().Apply(u)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	if err := applier.Validate(document(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := applier.Activate(t.Context(), document(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := applier.Validate(document(2, 54)); err != nil {
		t.Errorf("change that fills the table of rules: %v", err)
	}
	before := applier.core.Rules()
	if err := applier.Validate(
		document(2, 55),
	); err == nil ||
		!strings.Contains(err.Error(), "256 rules would stand at a time, expected 255 at most") {
		t.Errorf("change with one class too many: got error %v", err)
	}
	if applier.core.Rules() != before {
		t.Error("a validation has changed the active rules")
	}
}

// BenchmarkPutActive measures the activation of a change of one quota.
func BenchmarkPutActive(b *testing.B) {
	for _, tenants := range []int{4, 50, 450} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			applier := startApplier(b, configOf(b, tenants, 1))
			d := quotaDocument(b, tenants, 1, 5)
			for version := uint64(2); b.Loop(); version++ {
				change := settings.Change{
					Key:   fmt.Sprintf("tenant/tenant-%04d", int(version)%tenants),
					Value: json.RawMessage(fmt.Sprintf(`{"quotaRps":%d}`, version)),
				}
				var err error
				if d, err = d.Apply(
					settings.Update{From: version - 1, Version: version, Changes: []settings.Change{change}},
				); err != nil {
					b.Fatal(err)
				}
				if err := applier.Activate(b.Context(), d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
