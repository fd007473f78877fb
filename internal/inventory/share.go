package inventory

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"gatetack/internal/node"
)

// Store is the replicated store, through which a change that one node reads reaches the other nodes.
type Store interface {
	// Put writes a value under a key of a table.
	Put(ctx context.Context, table, key string, value []byte) error
	// Local reads this member's replica.
	Local(table, key string) ([]byte, bool)
}

// Table and key of the inventory in the store.
const (
	storeTable = "config"
	storeKey   = "inventory"
)

// inventory is a list of endpoints with the time at which it was written, in Unix milliseconds.
type inventory struct {
	at      int64
	entries []node.Endpoint
}

// storedInventory is the encoding of an inventory in the store. Its keys are stored data and must not change.
type storedInventory struct {
	At   int64       `json:"at"`
	Rows []storedRow `json:"rows"`
}

// storedRow is the encoding of one executor in the store.
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

// encode returns the inventory in the encoding of the store.
func (v inventory) encode() ([]byte, error) {
	stored := storedInventory{At: v.at}
	for _, e := range v.entries {
		stored.Rows = append(stored.Rows, storedRow{Name: e.Name, Address: e.Address, Zone: e.Zone, Kind: e.Kind,
			Group: json.Number(strconv.Itoa(e.Group)), Status: e.Status, Weight: e.Weight, SinceMS: e.StartedAtMs})
	}
	return json.Marshal(stored)
}

// storeHas reports whether the store has an inventory that was written at the given time or later.
func (s *Source) storeHas(at int64) bool {
	raw, ok := s.store.Local(storeTable, storeKey)
	if !ok {
		return false
	}
	var stored storedInventory
	_ = json.Unmarshal(raw, &stored) // an unreadable inventory is replaced
	return stored.At >= at
}

// share writes inventories to the store, unless it has a later one, and retries until it succeeds. It runs in its own
// goroutine, since a store without a leader must not delay changes of the file, such as a drain.
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

// putUntilReplaced retries to write an inventory until the write succeeds or a newer inventory is available.
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
		s.log.Warn("inventory not written to the store, retrying", "err", err)
		select {
		case <-time.After(s.limits.StoreElectionTimeout):
		case <-ctx.Done():
		}
	}
}

// adopt takes the inventory from the store if another node wrote it and it is later than the current one. It
// reports whether the entries have changed.
func (s *Source) adopt() bool {
	raw, ok := s.store.Local(storeTable, storeKey)
	if !ok || bytes.Equal(raw, s.stored) {
		return false
	}
	s.stored = raw
	var stored storedInventory
	if err := json.Unmarshal(raw, &stored); err != nil {
		s.log.Error("inventory of the store rejected, keeping the previous list", "err", err)
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
			s.log.Error("inventory of the store rejected, keeping the previous list", "err", err)
			return false
		}
	}
	s.entries, s.writtenAt = b.entries, stored.At
	s.index++
	return true
}
