package play

import (
	"context"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"gatetack/internal/scale/fleet"
	"gatetack/internal/scale/hollow"
	"gatetack/internal/scale/process"
	"gatetack/internal/scale/verdict"
	"gatetack/internal/scale/workload"
)

// ClientsCommand is the tool's hidden command that runs a client process.
const ClientsCommand = "clients"

// clientsOrder tells a client process which part of a load to submit and where to write its report.
type clientsOrder struct {
	Description fleet.Description
	Block       int // number of the block of addresses
	Part, Parts int
	Zero        int64 // time from which the record's times count, and
	Start       int64 // start of the load, both in Unix nanoseconds
	Report      string
}

// clientsReport has the events and counts of a client process.
type clientsReport struct {
	Events  []verdict.Event
	Results hollow.ResultCounts
	Traffic map[string]hollow.RoleTraffic
	Lag     time.Duration
}

// submit runs the load's clients, in this process or in client processes.
func (r *run) submit(ctx context.Context, s *sampler) {
	d := &r.Description
	if d.Clients == 0 {
		r.clients.Play(ctx, workload.New(*d), r.loadStart)
		return
	}
	r.noteDue()
	var children []*process.Process
	for part := range d.Clients {
		p, err := r.startClients(part)
		if err != nil {
			r.addNote("clients %d: %v", part, err)
			continue
		}
		children = append(children, p)
		s.add(p)
	}
	for part, p := range children {
		r.waitForClients(ctx, p)
		if err := r.merge(part); err != nil {
			r.addNote("clients %d: %v", part, errors.Join(err, p.Err()))
		}
	}
}

// noteDue records when all tasks are due. This process records the starts, so it generates the same load as the client processes.
func (r *run) noteDue() {
	load := workload.New(r.Description)
	for t, ok := load.Next(); ok; t, ok = load.Next() {
		r.record.Due(t, r.loadStart.Add(t.Due))
	}
}

func (r *run) reportPath(part int) string {
	return filepath.Join(r.Dir, fmt.Sprintf("clients-%d.report", part))
}

func (r *run) startClients(part int) (*process.Process, error) {
	order := clientsOrder{Description: r.Description, Block: r.network.Block(), Part: part, Parts: r.Description.Clients,
		Zero: r.record.Start().UnixNano(), Start: r.loadStart.UnixNano(), Report: r.reportPath(part)}
	text, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("order: %w", err)
	}
	path := filepath.Join(r.Dir, fmt.Sprintf("clients-%d.json", part))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("order: %w", err)
	}
	return r.starter.Start(process.Command{Name: fmt.Sprintf("clients %d", part), Program: r.Self, Args: []string{ClientsCommand, path},
		Log: filepath.Join(r.Dir, fmt.Sprintf("clients-%d.log", part))})
}

// reportTimeout is how long a client process may take to write its report after it was asked to end.
const reportTimeout = 20 * time.Second

// waitForClients waits until a client process has ended, and asks it to end when the context ends.
func (r *run) waitForClients(ctx context.Context, p *process.Process) {
	select {
	case <-p.Ended():
		return
	case <-ctx.Done():
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		r.addNote("%v", err)
	}
	select {
	case <-p.Ended():
	case <-time.After(reportTimeout):
		p.Kill()
	}
}

// merge adds the report of a client process to the run.
func (r *run) merge(part int) error {
	file, err := os.Open(r.reportPath(part))
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer func() { _ = file.Close() }()
	var report clientsReport
	if err := gob.NewDecoder(file).Decode(&report); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	r.record.Merge(report.Events)
	r.clients.Results().Merge(report.Results)
	r.traffic.Merge(report.Traffic)
	r.clientLag = max(r.clientLag, report.Lag)
	return nil
}

// RunClients runs a client process: it submits the part of a load that its order file names and writes a report.
func RunClients(ctx context.Context, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	var order clientsOrder
	if err := json.Unmarshal(text, &order); err != nil {
		return fmt.Errorf("order %s: %w", path, err)
	}
	d := &order.Description
	if err := d.Check(); err != nil {
		return err
	}
	var late lag
	watching, stop := context.WithCancel(ctx)
	go late.watch(watching)
	defer stop()
	record, traffic := hollow.NewRecordFrom(time.Unix(0, order.Zero)), &hollow.Traffic{}
	clients := hollow.NewClients(d.Rules(), d.TotalDispatchers(), nil, hollow.JoinNetwork(order.Block), record, traffic)
	clients.UseBatch(d.StoreMembers)
	clients.SetPart(order.Part)
	clients.Play(ctx, hollow.Part{Load: workload.New(*d), Part: order.Part, Parts: order.Parts}, time.Unix(0, order.Start))
	clients.Close()
	return writeReport(order.Report, &clientsReport{record.Events(), clients.Results().Counts(), traffic.Sum(), late.worst()})
}

func writeReport(path string, report *clientsReport) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	err = gob.NewEncoder(file).Encode(report)
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
