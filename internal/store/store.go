// Package store is the nodes' own replicated store: hashicorp/raft with its boltdb log. It holds the
// configuration and what is known of batch jobs. Every member answers; what changes the store, and what must not
// be told stale, goes through the leader.
package store

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/tidwall/gjson"
	"golang.org/x/sync/errgroup"

	"quincereach/internal/http1"
	"quincereach/internal/limits"
	"quincereach/internal/pace"
	"quincereach/internal/records"
)

// Config names a member's place.
type Config struct {
	Name    string
	Dir     string
	Listen  string
	Members map[string]string // addresses by name, our own among them
}

// Store is one member.
type Store struct {
	cfg    Config
	lim    limits.Limits
	log    *slog.Logger
	raft   *raft.Raft
	fsm    *fsm
	mux    *mux
	server *http1.Server
	bolt   *boltdb.BoltStore
	trans  *raft.NetworkTransport
}

// ErrNoLeader says that the store has no leader, so that nothing can be written or told for certain.
var ErrNoLeader = errors.New("store: no leader is known")

// Open starts a member. What it held before it reads from its folder.
func Open(cfg Config, lim limits.Limits, slow *pace.Tally, log *slog.Logger) (*Store, error) {
	if cfg.Members[cfg.Name] != cfg.Listen {
		return nil, fmt.Errorf("store: member %q is not at %s", cfg.Name, cfg.Listen)
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	lim.Body = lim.StoreBody
	s := &Store{cfg: cfg, lim: lim, log: log, fsm: newFSM(lim), mux: newMux(ln, lim)}
	if err := s.open(); err != nil {
		_ = ln.Close()
		if s.bolt != nil {
			_ = s.bolt.Close()
		}
		return nil, fmt.Errorf("store: %w", err)
	}
	sub := lim
	sub.ClientConns, sub.SpareConns = lim.StoreConns, lim.StoreConns/2
	s.server = http1.NewServer(sub, s, slow, log)
	return s, nil
}

func (s *Store) open() error {
	quiet := hclog.FromStandardLogger(slog.NewLogLogger(s.log.Handler(), slog.LevelDebug), &hclog.LoggerOptions{Level: hclog.Warn, DisableTime: true})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(s.cfg.Name), quiet
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = s.lim.StoreBeat, s.lim.StoreBeat, s.lim.StoreBeat/2
	c.CommitTimeout = s.lim.StoreBeat / 20
	c.SnapshotThreshold, c.TrailingLogs = uint64(s.lim.StoreLog), uint64(s.lim.StoreLog)/4
	var err error
	if s.bolt, err = boltdb.NewBoltStore(filepath.Join(s.cfg.Dir, "raft.db")); err != nil {
		return err
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(s.cfg.Dir, 2, quiet)
	if err != nil {
		return err
	}
	s.trans = raft.NewNetworkTransportWithLogger(s.mux, 2, s.lim.StoreCall, quiet)
	known, err := raft.HasExistingState(s.bolt, s.bolt, snaps)
	if err != nil {
		return err
	}
	if !known {
		// Every member begins with the same list, so that it does not matter which one begins.
		var all raft.Configuration
		for name, addr := range s.cfg.Members {
			all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(name), Address: raft.ServerAddress(addr)})
		}
		slices.SortFunc(all.Servers, func(a, b raft.Server) int { return cmp.Compare(a.ID, b.ID) })
		if err := raft.BootstrapCluster(c, s.bolt, s.bolt, snaps, s.trans, all); err != nil {
			return err
		}
	}
	s.raft, err = raft.NewRaft(c, s.fsm, s.bolt, s.bolt, snaps, s.trans)
	return err
}

// Run serves until the context ends.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.mux.run(ctx) })
	g.Go(func() error { return s.server.Serve(ctx, s.mux.calls) })
	g.Go(func() error {
		<-ctx.Done()
		return s.close()
	})
	return g.Wait()
}

func (s *Store) close() error {
	err := s.raft.Shutdown().Error()
	return errors.Join(err, s.trans.Close(), s.bolt.Close())
}

// Leads says whether this member leads.
func (s *Store) Leads() bool { return s.raft.State() == raft.Leader }

// Put sets a value, and returns once most members have it.
func (s *Store) Put(ctx context.Context, kind, key string, value []byte) error {
	return s.Write(ctx, records.Change{Kind: kind, Key: key, Value: value})
}

// Write makes all changes or none, as one entry of the log, and returns once most members have it.
func (s *Store) Write(ctx context.Context, changes ...records.Change) error {
	var all command
	for _, c := range changes {
		all.All = append(all.All, command{Kind: c.Kind, Key: c.Key, Value: c.Value, Gone: c.Value == nil})
	}
	cmd, err := json.Marshal(&all)
	if err != nil {
		return err
	}
	_, err = s.ask(ctx, "/put", cmd)
	return err
}

// Page gives rows of a kind in the order of their keys, as the leader has them.
func (s *Store) Page(ctx context.Context, kind, after string, limit int) ([]records.Row, error) {
	if after == "" {
		after = "\x00" // a command names a key
	}
	cmd, err := json.Marshal(command{Kind: kind, Key: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	m, err := s.ask(ctx, "/page", cmd)
	if err != nil {
		return nil, err
	}
	var rows []records.Row
	if err := json.Unmarshal(m.Body, &rows); err != nil {
		return nil, fmt.Errorf("store: a page: %w", err)
	}
	return rows, nil
}

// Get gives a value as it is now at the leader: an older one could say of a job that nothing of it was sent.
func (s *Store) Get(ctx context.Context, kind, key string) (value []byte, found bool, err error) {
	cmd, err := json.Marshal(command{Kind: kind, Key: key})
	if err != nil {
		return nil, false, err
	}
	m, err := s.ask(ctx, "/get", cmd)
	if err != nil {
		return nil, false, err
	}
	return m.Body, m.Status == 200, nil
}

// Local gives a value as this member holds it, which may be old.
func (s *Store) Local(kind, key string) ([]byte, bool) { return s.fsm.get(kind, key) }

// ask has the leader do a call. While a new leader is chosen it waits, until the context ends.
func (s *Store) ask(ctx context.Context, path string, body []byte) (*http1.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, s.lim.StoreCall)
	defer cancel()
	for {
		m, err := s.askOnce(ctx, path, body)
		if err == nil {
			return m, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("store: %w", errors.Join(err, ctx.Err()))
		case <-time.After(s.lim.StoreBeat / 10):
		}
	}
}

func (s *Store) askOnce(ctx context.Context, path string, body []byte) (*http1.Message, error) {
	addr, _ := s.raft.LeaderWithID()
	if addr == "" {
		return nil, ErrNoLeader
	}
	if s.Leads() {
		r := s.lead(path, body)
		return answer(&http1.Message{Status: r.Status, Body: r.Body})
	}
	var d net.Dialer
	dialed, err := d.DialContext(ctx, "tcp", string(addr))
	if err != nil {
		return nil, err
	}
	c := http1.NewPaced(dialed, s.lim.Pace.BoxIn, s.lim.Pace.BoxOut)
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	w := http1.NewWriter(c, s.lim.Ring)
	if err := errors.Join(w.Request("POST", path, []http1.Field{{Name: "Host", Value: string(addr)}}, body), w.Flush()); err != nil {
		return nil, err
	}
	m, err := http1.NewParser(s.lim, true).Read(http1.NewRing(s.lim.Ring), c)
	if err != nil {
		return nil, err
	}
	return answer(m)
}

func answer(m *http1.Message) (*http1.Message, error) {
	if m.Status == 200 || m.Status == 404 {
		return m, nil
	}
	return nil, fmt.Errorf("the leader says %d: %s", m.Status, m.Body)
}

// Handle answers another member that takes this one for the leader.
func (s *Store) Handle(_ context.Context, m *http1.Message) http1.Response {
	if !s.Leads() {
		return http1.Text(503, "this member does not lead")
	}
	return s.lead(m.Target, m.Body)
}

// lead does a call as the leader.
func (s *Store) lead(path string, body []byte) http1.Response {
	switch path {
	case "/put":
		f := s.raft.Apply(body, s.lim.StoreCall)
		if err := f.Error(); err != nil {
			return http1.Text(503, "%v", err)
		}
		if err, bad := f.Response().(error); bad && err != nil {
			return http1.Text(500, "%v", err)
		}
		return http1.Response{Status: 200}
	case "/page":
		if err := s.raft.Barrier(s.lim.StoreCall).Error(); err != nil {
			return http1.Text(503, "%v", err)
		}
		var c command
		if err := c.read(body); err != nil {
			return http1.Text(400, "%v", err)
		}
		out, err := json.Marshal(s.fsm.page(&c, s.lim.StoreBody/2))
		if err != nil {
			return http1.Text(500, "%v", err)
		}
		return http1.Response{Status: 200, Body: out}
	case "/get":
		// All that was written before is in once the barrier is, and only a leader gets one through.
		if err := s.raft.Barrier(s.lim.StoreCall).Error(); err != nil {
			return http1.Text(503, "%v", err)
		}
		var c command
		if err := c.read(body); err != nil {
			return http1.Text(400, "%v", err)
		}
		if v, ok := s.fsm.get(c.Kind, c.Key); ok {
			return http1.Response{Status: 200, Body: v}
		}
		return http1.Response{Status: 404}
	}
	return http1.Text(404, "no such call")
}

// command is one change, or the name of a value.
type command struct {
	Kind  string `json:"kind"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Gone  bool   `json:"gone,omitempty"`  // the value is taken away
	Limit int    `json:"limit,omitempty"` // of a page

	All []command `json:"all,omitempty"` // changes that are made together
}

func (c *command) read(data []byte) error {
	if !gjson.ValidBytes(data) {
		return errors.New("not valid JSON")
	}
	return c.parse(gjson.ParseBytes(data))
}

func (c *command) parse(v gjson.Result) error {
	if all := v.Get("all"); all.Exists() {
		for _, x := range all.Array() {
			var one command
			if err := one.parse(x); err != nil {
				return err
			}
			c.All = append(c.All, one)
		}
		return nil
	}
	c.Kind, c.Key = v.Get("kind").String(), v.Get("key").String()
	c.Gone, c.Limit = v.Get("gone").Bool(), int(v.Get("limit").Int())
	if c.Kind == "" || c.Key == "" {
		return errors.New("no kind or no key")
	}
	var err error
	c.Value, err = base64.StdEncoding.DecodeString(v.Get("value").String())
	return err
}

// fsm is what the log adds up to. Of each kind the values written first go first, once there are too many.
type fsm struct {
	lim limits.Limits

	mu    sync.Mutex
	kinds map[string]*values
}

type values struct {
	order []string // by first writing
	of    map[string][]byte
	bytes int
}

func newFSM(lim limits.Limits) *fsm { return &fsm{lim: lim, kinds: map[string]*values{}} }

func (f *fsm) get(kind, key string) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.kinds[kind]; k != nil {
		v, ok := k.of[key]
		return v, ok
	}
	return nil, false
}

// Apply takes in one change.
func (f *fsm) Apply(l *raft.Log) any {
	var c command
	if err := c.read(l.Data); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(c.All) == 0 {
		f.put(&c)
	}
	for i := range c.All {
		f.put(&c.All[i])
	}
	return nil
}

// page gives rows after a key, up to a number of them and of bytes.
func (f *fsm) page(c *command, bytes int) []records.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := []records.Row{}
	k := f.kinds[c.Kind]
	if k == nil {
		return rows
	}
	for _, key := range slices.Sorted(maps.Keys(k.of)) {
		if key <= c.Key {
			continue
		}
		if bytes -= len(k.of[key]); len(rows) >= c.Limit || bytes < 0 && len(rows) > 0 {
			break
		}
		rows = append(rows, records.Row{Key: key, Value: k.of[key]})
	}
	return rows
}

func (f *fsm) put(c *command) {
	k := f.kinds[c.Kind]
	if k == nil {
		k = &values{of: map[string][]byte{}}
		f.kinds[c.Kind] = k
	}
	old, known := k.of[c.Key]
	if c.Gone {
		if known {
			k.bytes -= len(old)
			delete(k.of, c.Key)
			k.order = slices.Delete(k.order, slices.Index(k.order, c.Key), slices.Index(k.order, c.Key)+1)
		}
		return
	}
	if !known {
		k.order = append(k.order, c.Key)
	}
	k.bytes += len(c.Value) - len(old)
	k.of[c.Key] = c.Value
	for len(k.order) > f.lim.StoreValues || k.bytes > f.lim.StoreBytes && len(k.order) > 1 {
		k.bytes -= len(k.of[k.order[0]])
		delete(k.of, k.order[0])
		k.order = k.order[1:]
	}
}

// Snapshot gives the whole as the commands that make it, one a line.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for _, kind := range slices.Sorted(maps.Keys(f.kinds)) {
		for _, key := range f.kinds[kind].order {
			if err := enc.Encode(command{Kind: kind, Key: key, Value: f.kinds[kind].of[key]}); err != nil {
				return nil, err
			}
		}
	}
	return snapshot(out.Bytes()), nil
}

// Restore takes the place of all that was held.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds = map[string]*values{}
	for line := range bytes.Lines(data) {
		var c command
		if err := c.read(line); err != nil {
			return err
		}
		f.put(&c)
	}
	return nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (snapshot) Release() {}

// mux lets raft's streams and the members' calls share one address: a stream of raft's begins with a byte that
// no request begins with.
type mux struct {
	net.Listener
	lim   limits.Limits
	raft  chan net.Conn
	calls *queue
	done  chan struct{}
	once  sync.Once
}

const raftMark = 0x01

func newMux(ln net.Listener, lim limits.Limits) *mux {
	done := make(chan struct{})
	return &mux{Listener: ln, lim: lim, raft: make(chan net.Conn), done: done,
		calls: &queue{addr: ln.Addr(), in: make(chan net.Conn), done: make(chan struct{})}}
}

func (m *mux) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { <-ctx.Done(); return m.Close() })
	slots := make(chan struct{}, 4*m.lim.StoreConns)
	g.Go(func() error {
		for {
			c, err := m.Listener.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return nil
				}
				time.Sleep(5 * time.Millisecond)
				continue
			}
			select {
			case slots <- struct{}{}:
			default:
				_ = c.Close()
				continue
			}
			g.Go(func() error {
				defer func() { <-slots }()
				m.sort(ctx, c)
				return nil
			})
		}
	})
	return g.Wait()
}

func (m *mux) sort(ctx context.Context, c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(m.lim.StoreCall))
	r := bufio.NewReaderSize(c, 16)
	first, err := r.Peek(1)
	if err != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	to := m.calls.in
	if first[0] == raftMark {
		_, _ = r.Discard(1)
		to = m.raft
	}
	select {
	case to <- &peeked{c, r}:
	case <-ctx.Done():
		_ = c.Close()
	}
}

// peeked is a connection of which the first bytes are read already.
type peeked struct {
	net.Conn
	r *bufio.Reader
}

func (p *peeked) Read(b []byte) (int, error) { return p.r.Read(b) }

// Accept gives raft its streams.
func (m *mux) Accept() (net.Conn, error) {
	select {
	case c := <-m.raft:
		return c, nil
	case <-m.done:
		return nil, net.ErrClosed
	}
}

// Close ends both sides.
func (m *mux) Close() error {
	m.once.Do(func() { close(m.done) })
	if err := m.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Dial opens a stream for raft.
func (m *mux) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", string(addr), timeout)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{raftMark}); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

// queue is the listener of the members' calls.
type queue struct {
	addr net.Addr
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.in:
		return c, nil
	case <-q.done:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error   { q.once.Do(func() { close(q.done) }); return nil }
func (q *queue) Addr() net.Addr { return q.addr }
