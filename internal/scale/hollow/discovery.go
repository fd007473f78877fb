package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"gatetack/internal/http1"
	"gatetack/internal/limits"
	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/verdict"
)

// Discovery serves the endpoint list and watches on it, at a separate address for each dispatcher.
type Discovery struct {
	record  *Record
	traffic *Traffic
	lim     limits.Limits
	network *Network
	members int
	numbers map[string]int32

	mu      sync.Mutex
	entries []Entry // entries by executor number
	log     []int   // executors whose entries changed; the first change has index 2
	changed chan struct{}
}

// Entry is the entry of an executor in the list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// The statuses of an entry.
const (
	StatusReady    = "ready"
	StatusDraining = "draining"
	StatusRemoved  = "gone"
)

// firstIndex is the index of the initial list.
const firstIndex = 1

// heartbeatInterval is the time between empty lines on a watch without changes.
const heartbeatInterval = 2 * time.Second

// NewDiscovery starts to serve the endpoint list of a fleet.
func NewDiscovery(ctx context.Context, g *errgroup.Group, d *fleet.Description, plan []fleet.Executor, n *Network, r *Record,
	t *Traffic) (*Discovery, error) {
	s := &Discovery{network: n, members: d.StoreMembers, record: r, traffic: t, lim: limits.New(0, 0, 0, 0, 0), numbers: map[string]int32{}, changed: make(chan struct{})}
	for _, x := range plan {
		s.numbers[x.Name] = int32(x.Number)
		s.entries = append(s.entries, Entry{Name: x.Name, Zone: d.ZoneName(x.Zone), Type: fleet.Kinds[x.Kind],
			Group: x.Rack, Status: StatusReady, Weight: float64(x.Slots)})
	}
	for i := range d.TotalDispatchers() {
		ln, err := net.Listen("tcp", n.Discovery(i))
		if err != nil {
			return nil, fmt.Errorf("discovery for dispatcher %d: %w", i, err)
		}
		g.Go(func() error {
			stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
			defer stop()
			for {
				c, err := ln.Accept()
				if err != nil {
					return nil
				}
				g.Go(func() error { s.serve(ctx, c, i); return nil })
			}
		})
	}
	return s, nil
}

// Set changes the status of executors. If since is not zero, it is their new start time.
func (s *Discovery) Set(executors []int, status string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range executors {
		s.entries[i].Status = status
		if !since.IsZero() {
			s.entries[i].SinceMS = since.UnixMilli()
		}
		s.log = append(s.log, i)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer is one message of the list protocol: a snapshot or a delta.
type answer struct {
	Index     int     `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// since returns the changes after an index, or a snapshot if the list never had that index, with the addresses for a dispatcher.
func (s *Discovery) since(index, dispatcher int) (answer, <-chan struct{}) {
	a, changed := s.changes(index)
	if dispatcher >= s.members {
		dispatcher = anyDispatcher
	}
	for i := range a.Endpoints {
		entry := &a.Endpoints[i]
		entry.Address = s.network.Executor(int(s.numbers[entry.Name]), dispatcher)
	}
	return a, changed
}

func (s *Discovery) changes(index int) (answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := firstIndex + len(s.log)
	a := answer{Index: now, Endpoints: []Entry{}}
	if index < firstIndex || index > now {
		a.Snapshot = true
		for _, entry := range s.entries {
			if entry.Status != StatusRemoved {
				a.Endpoints = append(a.Endpoints, entry)
			}
		}
		return a, s.changed
	}
	listed := map[int]bool{}
	for _, i := range s.log[index-firstIndex:] {
		if !listed[i] {
			listed[i] = true
			a.Endpoints = append(a.Endpoints, s.entries[i])
		}
	}
	return a, s.changed
}

func (s *Discovery) serve(ctx context.Context, conn net.Conn, dispatcher int) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	c := s.traffic.count(conn, RoleDiscovery)
	in, parser := http1.NewRing(s.lim.RingBytes), http1.NewParser(s.lim, false)
	for {
		m, err := parser.Read(in, c)
		if err != nil {
			return
		}
		s.traffic.out(RoleDiscovery)
		if strings.Contains(m.Target, "stream=1") {
			s.watch(ctx, c, m.Target, dispatcher)
			return
		}
		a, _ := s.since(0, dispatcher)
		text, err := json.Marshal(a)
		if err != nil {
			return
		}
		if http1.NewWriter(c, s.lim.RingBytes).Response(&http1.Response{Status: 200, Body: append(text, '\n')}) != nil {
			return
		}
		s.recordListed(a, dispatcher)
	}
}

// watch sends changes as they happen.
func (s *Discovery) watch(ctx context.Context, c io.Writer, target string, dispatcher int) {
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	_, after, _ := strings.Cut(target, "index=")
	index, err := strconv.Atoi(after)
	if err != nil {
		index = 0
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		a, changed := s.since(index, dispatcher)
		text := []byte("\n")
		if a.Snapshot || a.Index > index {
			if text, err = json.Marshal(a); err != nil {
				return
			}
			text = append(text, '\n')
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		s.recordListed(a, dispatcher)
		index = a.Index
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-ctx.Done():
			return
		}
	}
}

// recordListed records the entries that a dispatcher was sent.
func (s *Discovery) recordListed(a answer, dispatcher int) {
	s.traffic.in(RoleDiscovery)
	now := s.record.Now()
	for _, entry := range a.Endpoints {
		e := verdict.Event{At: now, Kind: verdict.Listed, Dispatcher: int16(dispatcher), Executor: s.numbers[entry.Name]}
		switch entry.Status {
		case StatusDraining:
			e.Condition = verdict.Draining
		case StatusRemoved:
			e.Condition = verdict.Removed
		}
		s.record.Add(e)
	}
}
