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

// MemberConfig is the configuration of a member of the measured store, which runs in its own process.
type MemberConfig struct {
	Name    string            `json:"name"`
	Dir     string            `json:"dir"`
	Members map[string]string `json:"members"` // addresses by name
	Values  int               `json:"values"`  // per table, replaces the default limit
	Bytes   int               `json:"bytes"`   // per table, replaces the default limit
	Conns   int               `json:"conns"`   // concurrent calls, replaces the default limit
}

// MemberStats is the resource use of a member's process since its start.
type MemberStats struct {
	ProcessorNS int64  `json:"processor_ns"`
	HeapBytes   uint64 `json:"heap_bytes"`
	IsLeader    bool   `json:"leads"`
	Index       uint64 `json:"index"`
	Traffic            // of connections between members; each client call closes its connection before the stats are read
}

// measuredLimits returns the default limits of a member with the limits that the configuration replaces.
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

// RunMember runs a member of the store until its input ends. It answers each input line with the member's stats.
func RunMember(config string, in io.Reader, out io.Writer) error {
	var c MemberConfig
	if err := json.Unmarshal([]byte(config), &c); err != nil {
		return fmt.Errorf("measure: parse member configuration: %w", err)
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
	stats := MemberStats{ProcessorNS: processorTime().Nanoseconds(), IsLeader: member.IsLeader(), Index: member.View().Index()}
	var err error
	if stats.Traffic, err = openTraffic(); err != nil {
		return stats, err
	}
	stats.HeapBytes = heapBytes()
	return stats, nil
}
