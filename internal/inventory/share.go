package inventory

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"gatetack/internal/node"
)

// Keeper is the replicated store, where there is one: a change that one node takes in reaches the others by it.
type Keeper interface {
	// Put writes a value under a key of a table.
	Put(ctx context.Context, table, key string, value []byte) error
	// Local reads this member's replica.
	Local(table, key string) ([]byte, bool)
}

// Where the store has the inventory.
const (
	storeTable = "config"
	storeKey   = "inventory"
)

// inventory is a list of entries and when it was written, in Unix milliseconds.
type inventory struct {
	at      int64
	entries []node.Endpoint
}

// storedInventory is the inventory in the store. Its keys are stored data and do not change.
type storedInventory struct {
	At   int64       `json:"at"`
	Rows []storedRow `json:"rows"`
}

// storedRow is one executor in the store.
type storedRow struct {
	Name    string
	Address string
	Zone    string
	Kind    string
	Group   json.Number
	Status  string
	Weight  float64
	SinceMS float64
}

// encode is the inventory as the store has it.
func (v inventory) encode() ([]byte, error) {
	stored := storedInventory{At: v.at}
	for _, e := range v.entries {
		stored.Rows = append(stored.Rows, storedRow{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Kind,
			Group: json.Number(strconv.Itoa(e.Group)), Status: e.Status, Weight: e.Weight, SinceMS: e.StartedAtMs})
	}
	return json.Marshal(stored)
}

// storeHas reports whether the store has an inventory that was written at a time or later.
func (s *Source) storeHas(at int64) bool {
	raw, ok := s.store.Local(storeTable, storeKey)
	if !ok {
		return false
	}
	var stored storedInventory
	_ = json.Unmarshal(raw, &stored) // one that can not be read is replaced
	return stored.At >= at
}

// share puts inventories into the store, unless it has later ones, and tries again until it can. It has a goroutine of
// its own: a store without a leader must not delay what the file says, a drain least of all.
func (s *Source) share(ctx context.Context, in <-chan inventory) {
	for {
		select {
		case latest := <-in:
			s.putUntilReplaced(ctx, latest, in)
		case <-ctx.Done():
			return
		}
	}
}

// putUntilReplaced writes an inventory until that succeeds or a newer one has come.
func (s *Source) putUntilReplaced(ctx context.Context, latest inventory, in <-chan inventory) {
	for ctx.Err() == nil && len(in) == 0 {
		if s.storeHas(latest.at) {
			return
		}
		value, err := latest.encode()
		if err == nil {
			err = s.store.Put(ctx, storeTable, storeKey, value)
		}
		if err == nil {
			return
		}
		s.log.Warn("inventory not shared yet", "err", err)
		select {
		case <-time.After(s.limits.StoreElectionTimeout):
		case <-ctx.Done():
		}
	}
}

// shared takes over an inventory that another node has put into the store and that was written later than this one. It
// reports whether the entries have changed.
func (s *Source) shared() bool {
	raw, ok := s.store.Local(storeTable, storeKey)
	if !ok || bytes.Equal(raw, s.stored) {
		return false
	}
	s.stored = raw
	var stored storedInventory
	if err := json.Unmarshal(raw, &stored); err != nil {
		s.log.Error("inventory of the store rejected, the former list stays in use", "err", err)
		return false
	}
	if stored.At <= s.writtenAt {
		return false
	}
	b := newBuilder(s.names, s.limits)
	for i, r := range stored.Rows {
		row := map[string]string{"name": r.Name, "address": r.Address, "zone": r.Zone, "type": r.Kind,
			"group": r.Group.String(), "status": r.Status}
		if err := b.add(i+1, row); err != nil {
			s.log.Error("inventory of the store rejected, the former list stays in use", "err", err)
			return false
		}
	}
	s.entries, s.writtenAt = b.entries, stored.At
	s.index++
	return true
}
