package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/limits"
	"gatetack/internal/store"
)

// MemberConfig is what a member of the measured store is started with, in a process of its own.
type MemberConfig struct {
	Name    string            `json:"name"`
	Dir     string            `json:"dir"`
	Members map[string]string `json:"members"` // addresses by name
	Values  int               `json:"values"`  // of a table, in place of the limit that is in force
	Bytes   int               `json:"bytes"`   // likewise
	Conns   int               `json:"conns"`   // of calls that are served at a time, likewise
}

// MemberStats is what a member's process has used so far.
type MemberStats struct {
	ProcessorNS int64  `json:"processor_ns"`
	HeapBytes   uint64 `json:"heap_bytes"`
	Leads       bool   `json:"leads"`
	Index       uint64 `json:"index"`
	Traffic            // of the connections between members: those of clients, one to a call, are closed by then
}

// measuredLimits are a member's limits: the usual ones, but for how much a table may hold.
func measuredLimits(c MemberConfig) limits.Limits {
	lim := limits.New(0, 0, 0, 0, 0)
	if c.Values > 0 {
		lim.StoreValues = c.Values
	}
	if c.Bytes > 0 {
		lim.StoreBytes = c.Bytes
	}
	if c.Conns > 0 {
		lim.StoreConns = c.Conns
	}
	return lim
}

// RunMember runs a member of the store until its input ends, and writes what it has used for each line that it reads.
func RunMember(config string, in io.Reader, out io.Writer) error {
	var c MemberConfig
	if err := json.Unmarshal([]byte(config), &c); err != nil {
		return fmt.Errorf("measure: a member's configuration: %w", err)
	}
	member, err := store.Open(store.Config{Name: c.Name, Dir: c.Dir, Listen: c.Members[c.Name], Members: c.Members},
		measuredLimits(c), nil, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return member.Run(ctx) })
	answers := json.NewEncoder(out)
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		stats, err := memberStats(member)
		if err != nil {
			break
		}
		if answers.Encode(stats) != nil {
			break
		}
	}
	cancel()
	return group.Wait()
}

func memberStats(member *store.Store) (MemberStats, error) {
	stats := MemberStats{ProcessorNS: processorTime().Nanoseconds(), Leads: member.IsLeader(), Index: member.View().Index()}
	var err error
	if stats.Traffic, err = openTraffic(); err != nil {
		return stats, err
	}
	stats.HeapBytes = heapBytes()
	return stats, nil
}
