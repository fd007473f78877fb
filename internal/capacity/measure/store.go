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

// StoreLoad is the load of the measured store.
type StoreLoad struct {
	Program     string // path of this tool, which runs as each member
	Members     int
	Records     int // task records in the store during the measurement
	RecordBytes int // size of a task record
	Clients     int // concurrent writers
	Conns       int // concurrent calls that the leader serves; 0 for the default limit
	Writes      int // number of measured writes
}

// StoreCost is the cost of writes at the members, per write unless the name says otherwise.
type StoreCost struct {
	WritesPerSecond  float64
	MedianMS         float64
	LeaderMicros     float64 // processor time
	FollowerMicros   float64
	ClientMicros     float64
	LeaderBytesOut   float64 // to the other members
	LeaderBytesIn    float64
	FollowerBytesOut float64
	FollowerBytesIn  float64
	LeaderSegsOut    float64
	FollowerSegsOut  float64
	Retries          float64 // calls that were retried
	LeaderHeap       float64
	FollowerHeap     float64
}

const (
	fillBatch    = 100 // records per transaction while the store is filled
	fillClients  = 4
	memberWait   = 20 * time.Second
	recordsTable = "job"
	openTable    = "open"
	sentTable    = "sent"
	leaseTable   = "duty"
	leaseKey     = "measured.1"
)

// memberProcess is the process of a member.
type memberProcess struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
}

// startMember starts the process of a member.
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

// stats asks the process for its resource use.
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

// stop closes the input of the process, upon which the member shuts down. It kills the process if that takes longer than
// memberWait.
func (p *memberProcess) stop() {
	_ = p.in.Close()
	timer := time.AfterFunc(memberWait, func() { _ = p.command.Process.Kill() })
	defer timer.Stop()
	_ = p.command.Wait()
}

// cluster is a store whose members are separate processes.
type cluster struct {
	members   []*memberProcess
	addresses []string
	lim       limits.Limits
	retries   atomic.Int64

	mu      sync.Mutex             // held while the members are asked for the leader
	leader  int                    // index of the leader
	address atomic.Pointer[string] // address of the leader
}

// freeAddresses returns loopback addresses with free ports.
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

// startCluster starts the members and waits until one of them is the leader.
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
			Values: spare * (load.Records + load.Writes), Bytes: 1 << 30, Conns: load.Conns})
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

// transact sends a transaction to the leader in the same way as a follower does.
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
		return nil, fmt.Errorf("measure: transaction failed: %+v", result)
	}
	return result, nil
}

// call sends a transaction to the leader. If the call fails, for example because the leader has no free connection or
// has lost its leadership, call retries after the same backoff as package store.
func (c *cluster) call(ctx context.Context, body []byte) (*http1.Message, error) {
	for end := time.Now().Add(c.lim.StoreCallTimeout); ; {
		address := *c.address.Load()
		message, err := store.Call(ctx, address, "POST", "/txn", body, nil, c.lim)
		switch {
		case err == nil && message.Status == 200:
			return message, nil
		case err == nil:
			err = fmt.Errorf("measure: the leader answered with status %d: %s", message.Status, message.Body)
		}
		if time.Now().After(end) {
			return nil, err
		}
		c.retries.Add(1)
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

// findLeader asks the members which of them is the leader.
func (c *cluster) findLeader() error {
	for i, p := range c.members {
		stats, err := p.stats()
		if err != nil {
			return err
		}
		if stats.IsLeader {
			c.leader = i
			c.address.Store(&c.addresses[i])
			return nil
		}
	}
	return errNoLeader
}

var errNoLeader = errors.New("measure: the members have no leader")

// fill writes the records that the store holds during the measurement, and returns the epoch of the lease that fences
// the measured writes.
func (c *cluster) fill(ctx context.Context, load StoreLoad) (epoch uint64, err error) {
	claim, err := c.transact(ctx, &kv.Txn{Ops: []kv.Op{{Verb: kv.Put, Table: leaseTable, Key: leaseKey, Value: []byte("{}"), Keep: true}}})
	if err != nil {
		return 0, err
	}
	return claim.Version, c.forEach(ctx, fillClients, (load.Records+fillBatch-1)/fillBatch, func(i int) error {
		t := &kv.Txn{}
		for k := i * fillBatch; k < min((i+1)*fillBatch, load.Records); k++ {
			t.Ops = append(t.Ops, recordOps(fmt.Sprintf("held.%09d", k), load.RecordBytes)...)
		}
		_, err := c.transact(ctx, t)
		return err
	})
}

// recordOps returns the operations of a submission: the record of a task and its entry in the table of open tasks.
func recordOps(key string, valueBytes int) []kv.Op {
	return []kv.Op{{Verb: kv.Put, Table: recordsTable, Key: key, Value: make([]byte, valueBytes), Keep: true},
		{Verb: kv.Put, Table: openTable, Key: key, Value: []byte(key), Keep: true}}
}

// forEach calls work for all numbers below n on several goroutines until a call fails.
func (c *cluster) forEach(ctx context.Context, workers, n int, work func(int) error) error {
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

// StoreWrites measures fenced writes of task records by a store whose members are separate processes.
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
	return c.measureWrites(ctx, load, epoch)
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

// measureWrites makes and measures the writes. Each is fenced with the epoch of its lease, as in package leaseholder.
func (c *cluster) measureWrites(ctx context.Context, load StoreLoad, epoch uint64) (StoreCost, error) {
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
	latencies := make([]time.Duration, load.Writes)
	retriesBefore := c.retries.Load()
	clientBefore, startedAt := processorTime(), time.Now()
	err = c.forEach(ctx, load.Clients, load.Writes, func(i int) error {
		t := &kv.Txn{ID: fmt.Sprintf("measured-%012d", i),
			Ops: append([]kv.Op{{Verb: kv.Check, Table: leaseTable, Key: leaseKey, Cond: true, If: epoch}},
				recordOps(fmt.Sprintf("written.%09d", i), load.RecordBytes)...)}
		sentAt := time.Now()
		_, err := c.transact(ctx, t)
		latencies[i] = time.Since(sentAt)
		return err
	})
	if err != nil {
		return StoreCost{}, err
	}
	span, clientUsed := time.Since(startedAt), processorTime()-clientBefore
	after, err := c.allStats()
	if err != nil {
		return StoreCost{}, err
	}
	if c.leader != leader || !after[leader].IsLeader {
		return StoreCost{}, errors.New("measure: the leader changed during the measurement")
	}
	slices.Sort(latencies)
	cost := StoreCost{WritesPerSecond: float64(load.Writes) / span.Seconds(), MedianMS: latencies[len(latencies)/2].Seconds() * 1000,
		ClientMicros: clientUsed.Seconds() * 1e6 / float64(load.Writes),
		Retries:      float64(c.retries.Load()-retriesBefore) / float64(load.Writes)}
	c.addMemberCosts(&cost, before, after, float64(load.Writes))
	return cost, nil
}

// addMemberCosts adds the resource use of the members to the cost by role. Values of followers are means.
func (c *cluster) addMemberCosts(cost *StoreCost, before, after []MemberStats, writes float64) {
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
