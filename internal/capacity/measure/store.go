package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gatetack/internal/http1"
	"gatetack/internal/kv"
	"gatetack/internal/limits"
	"gatetack/internal/store"
)

// StoreLoad says what is written to the measured store.
type StoreLoad struct {
	Program string // the tool itself, which each member is a process of
	Members int
	Held    int // task records that the store holds while it is measured
	Value   int // bytes of a task's record
	Clients int // that write side by side
	Conns   int // connections of calls that the leader serves, 0 for its usual limit
	Writes  int // that are measured
}

// StoreCost is what writes cost the members.
type StoreCost struct {
	WritesPerSecond  float64
	MedianMS         float64
	LeaderMicros     float64 // processor time of one write
	FollowerMicros   float64
	ClientMicros     float64
	LeaderBytesOut   float64 // to the other members, of one write
	LeaderBytesIn    float64
	FollowerBytesOut float64
	FollowerBytesIn  float64
	LeaderSegsOut    float64
	FollowerSegsOut  float64
	Repeats          float64 // calls that had to be made again, to one write
	LeaderHeap       float64
	FollowerHeap     float64
}

const (
	fillBatch    = 100 // records put by one transaction while the store is filled
	fillClients  = 4
	memberWait   = 20 * time.Second
	recordsTable = "job"
	openTable    = "open"
	sentTable    = "sent"
	dutiesTable  = "duty"
	dutyKey      = "measured.1"
)

// memberProcess is a member's process.
type memberProcess struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
}

// startMember starts a member's process.
func startMember(program string, c MemberConfig) (*memberProcess, error) {
	config, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	p := &memberProcess{command: exec.Command(program, "member", string(config))}
	p.command.Stderr = os.Stderr
	if p.in, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewReader(out)
	return p, p.command.Start()
}

// stats asks the process what it has used.
func (p *memberProcess) stats() (MemberStats, error) {
	var stats MemberStats
	if _, err := io.WriteString(p.in, "\n"); err != nil {
		return stats, err
	}
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return stats, err
	}
	return stats, json.Unmarshal(line, &stats)
}

// stop ends the process: a member whose input ends leaves.
func (p *memberProcess) stop() {
	_ = p.in.Close()
	timer := time.AfterFunc(memberWait, func() { _ = p.command.Process.Kill() })
	defer timer.Stop()
	_ = p.command.Wait()
}

// cluster is a store of several processes.
type cluster struct {
	members   []*memberProcess
	addresses []string
	lim       limits.Limits
	repeats   atomic.Int64 // calls that were made again

	mu      sync.Mutex             // held while the members are asked
	leader  int                    // which of them leads
	address atomic.Pointer[string] // and where
}

// freeAddresses gives loopback addresses that nothing listens on.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		out = append(out, listener.Addr().String())
	}
	return out, nil
}

// startCluster starts the members and waits for a leader.
func startCluster(load StoreLoad, dir string) (*cluster, error) {
	addresses, err := freeAddresses(load.Members)
	if err != nil {
		return nil, err
	}
	members := map[string]string{}
	for i, address := range addresses {
		members[fmt.Sprintf("m%d", i)] = address
	}
	c := &cluster{lim: limits.New(0, 0, 0, 0, 0), addresses: addresses}
	const spare = 2
	for i := range addresses {
		name := fmt.Sprintf("m%d", i)
		p, err := startMember(load.Program, MemberConfig{Name: name, Dir: filepath.Join(dir, name), Members: members,
			Values: spare * (load.Held + load.Writes), Bytes: 1 << 30, Conns: load.Conns})
		if err != nil {
			c.stop()
			return nil, err
		}
		c.members = append(c.members, p)
	}
	for end := time.Now().Add(memberWait); ; time.Sleep(50 * time.Millisecond) {
		err := c.findLeader()
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, errNoLeader) || time.Now().After(end) {
			c.stop()
			return nil, err
		}
	}
}

func (c *cluster) stop() {
	var group sync.WaitGroup
	for _, p := range c.members {
		group.Go(p.stop)
	}
	group.Wait()
}

// transact has the leader make a transaction, as a member that follows asks for it.
func (c *cluster) transact(ctx context.Context, t *kv.Txn) (*kv.Result, error) {
	body, err := t.Marshal()
	if err != nil {
		return nil, err
	}
	message, err := c.call(ctx, body)
	if err != nil {
		return nil, err
	}
	result := &kv.Result{}
	if err := json.Unmarshal(message.Body, result); err != nil {
		return nil, err
	}
	if !result.OK() {
		return nil, fmt.Errorf("measure: a transaction was refused: %+v", result)
	}
	return result, nil
}

// call asks the leader. One that has no connection left, or leads no more, is asked again after as long as package store waits.
func (c *cluster) call(ctx context.Context, body []byte) (*http1.Message, error) {
	for end := time.Now().Add(c.lim.StoreCallTimeout); ; {
		address := *c.address.Load()
		message, err := store.Call(ctx, address, "POST", "/txn", body, nil, c.lim)
		switch {
		case err == nil && message.Status == 200:
			return message, nil
		case err == nil:
			err = fmt.Errorf("measure: the leader says %d: %s", message.Status, message.Body)
		}
		if time.Now().After(end) {
			return nil, err
		}
		c.repeats.Add(1)
		time.Sleep(c.lim.StoreElectionTimeout / 10)
		c.mu.Lock()
		if *c.address.Load() == address {
			err = c.findLeader()
		}
		c.mu.Unlock()
		if err != nil && ctx.Err() != nil {
			return nil, err
		}
	}
}

// findLeader asks the members which of them leads.
func (c *cluster) findLeader() error {
	for i, p := range c.members {
		stats, err := p.stats()
		if err != nil {
			return err
		}
		if stats.Leads {
			c.leader = i
			c.address.Store(&c.addresses[i])
			return nil
		}
	}
	return errNoLeader
}

var errNoLeader = errors.New("measure: the members have no leader")

// fill puts the records in that the store holds while it is measured, and gives the epoch of the duty they belong to.
func (c *cluster) fill(ctx context.Context, load StoreLoad) (epoch uint64, err error) {
	claim, err := c.transact(ctx, &kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: dutiesTable, Key: dutyKey, Value: []byte("{}"), Keep: true}}})
	if err != nil {
		return 0, err
	}
	return claim.Version, c.each(ctx, fillClients, (load.Held+fillBatch-1)/fillBatch, func(i int) error {
		t := &kv.Txn{}
		for k := i * fillBatch; k < min((i+1)*fillBatch, load.Held); k++ {
			t.Ops = append(t.Ops, recordOps(fmt.Sprintf("held.%09d", k), load.Value)...)
		}
		_, err := c.transact(ctx, t)
		return err
	})
}

// recordOps are what a submission writes: a task's record and its place among the open ones.
func recordOps(key string, value int) []kv.Op {
	return []kv.Op{{Verb: kv.Put, Table: recordsTable, Key: key, Value: make([]byte, value), Keep: true},
		{Verb: kv.Put, Table: openTable, Key: key, Value: []byte(key), Keep: true}}
}

// each calls work for all numbers below n from several goroutines, until one fails.
func (c *cluster) each(ctx context.Context, workers, n int, work func(int) error) error {
	var next atomic.Int64
	var failed atomic.Pointer[error]
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := int(next.Add(1)) - 1; i < n && failed.Load() == nil && ctx.Err() == nil; i = int(next.Add(1)) - 1 {
				if err := work(i); err != nil {
					failed.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	group.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return ctx.Err()
}

// StoreWrites measures fenced writes of task records by a store whose members are processes of their own.
func StoreWrites(ctx context.Context, load StoreLoad) (StoreCost, error) {
	dir, err := os.MkdirTemp("", "capacity-store-")
	if err != nil {
		return StoreCost{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c, err := startCluster(load, dir)
	if err != nil {
		return StoreCost{}, err
	}
	defer c.stop()
	epoch, err := c.fill(ctx, load)
	if err != nil {
		return StoreCost{}, err
	}
	return c.write(ctx, load, epoch)
}

func (c *cluster) allStats() ([]MemberStats, error) {
	var all []MemberStats
	for _, p := range c.members {
		stats, err := p.stats()
		if err != nil {
			return nil, err
		}
		all = append(all, stats)
	}
	return all, nil
}

// write makes the measured writes. Each goes under the epoch of its duty, as package leaseholder has it.
func (c *cluster) write(ctx context.Context, load StoreLoad, epoch uint64) (StoreCost, error) {
	c.mu.Lock()
	err := c.findLeader()
	leader := c.leader
	c.mu.Unlock()
	if err != nil {
		return StoreCost{}, err
	}
	before, err := c.allStats()
	if err != nil {
		return StoreCost{}, err
	}
	took := make([]time.Duration, load.Writes)
	repeats := c.repeats.Load()
	client, began := processorTime(), time.Now()
	err = c.each(ctx, load.Clients, load.Writes, func(i int) error {
		t := &kv.Txn{ID: fmt.Sprintf("measured-%012d", i),
			Ops: append([]kv.Op{{Verb: kv.Check, Table: dutiesTable, Key: dutyKey, Cond: true, If: epoch}},
				recordOps(fmt.Sprintf("written.%09d", i), load.Value)...)}
		asked := time.Now()
		_, err := c.transact(ctx, t)
		took[i] = time.Since(asked)
		return err
	})
	if err != nil {
		return StoreCost{}, err
	}
	span, clientUsed := time.Since(began), processorTime()-client
	after, err := c.allStats()
	if err != nil {
		return StoreCost{}, err
	}
	if c.leader != leader || !after[leader].Leads {
		return StoreCost{}, errors.New("measure: the leader changed while it was measured")
	}
	slices.Sort(took)
	cost := StoreCost{WritesPerSecond: float64(load.Writes) / span.Seconds(), MedianMS: took[len(took)/2].Seconds() * 1000,
		ClientMicros: clientUsed.Seconds() * 1e6 / float64(load.Writes),
		Repeats:      float64(c.repeats.Load()-repeats) / float64(load.Writes)}
	c.share(&cost, before, after, float64(load.Writes))
	return cost, nil
}

// share takes what the members used, by their roles; followers count by their mean.
func (c *cluster) share(cost *StoreCost, before, after []MemberStats, writes float64) {
	followers := float64(len(after) - 1)
	for i := range after {
		a, b := after[i], before[i]
		micros := float64(a.ProcessorNS-b.ProcessorNS) / 1000 / writes
		out, in := float64(a.BytesOut-b.BytesOut)/writes, float64(a.BytesIn-b.BytesIn)/writes
		segments := float64(a.SegmentsOut-b.SegmentsOut) / writes
		if i == c.leader {
			cost.LeaderMicros, cost.LeaderBytesOut, cost.LeaderBytesIn = micros, out, in
			cost.LeaderSegsOut, cost.LeaderHeap = segments, float64(a.HeapBytes)
			continue
		}
		cost.FollowerMicros += micros / followers
		cost.FollowerBytesOut += out / followers
		cost.FollowerBytesIn += in / followers
		cost.FollowerSegsOut += segments / followers
		cost.FollowerHeap += float64(a.HeapBytes) / followers
	}
}
