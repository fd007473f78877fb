// Package locality applies data locality to jobs (package site decides): it reads the operators' file of data
// sets and links, keeps what is known of each zone's capacity from this node's own counts and its list, and
// prices the zones for a job that names its inputs. A Placer owns the site's state; its owner runs its one
// goroutine.
package locality

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
	"gatetack/internal/site"
)

const (
	refreshInterval = time.Second // of the zones' capacity
	// runLearningRate is the weight of a job's run in the mean of its class.
	runLearningRate = 0.05
	bytesPerGbit    = 1e9 / 8
)

// MachineLister lists the executors.
type MachineLister interface {
	// Executors returns them with the number of this node's attempts at each.
	Executors(context.Context) ([]node.ExecutorInfo, error)
}

// Placer prices the zones for the jobs of one node.
type Placer struct {
	names            node.Names
	settings         dispatch.Settings
	machines         MachineLister
	slotsPerExecutor float64
	log              *slog.Logger
	now              func() time.Time
	started          time.Time

	mu           sync.Mutex
	site         *site.Site
	executorZone map[string]int // by name
	meanRun      []float64      // mean run of each class, ms
}

// Open reads the operators' file and returns a Placer that goes by it.
func Open(path string, names node.Names, s dispatch.Settings, from MachineLister, log *slog.Logger) (*Placer, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path, "data.file", err.Error()}
	}
	f, err := parse(path, data, names)
	if err != nil {
		return nil, err
	}
	return newPlacer(f, names, s, from, log), nil
}

func newPlacer(f *File, names node.Names, s dispatch.Settings, from MachineLister, log *slog.Logger) *Placer {
	p := &Placer{
		names: names, settings: s, machines: from, slotsPerExecutor: float64(f.SlotsPerExecutor), log: log,
		now: time.Now, started: time.Now(),
		executorZone: map[string]int{}, site: site.New(max(len(names.Zones), 1), maxDataSets),
	}
	for _, class := range s.Classes {
		p.meanRun = append(p.meanRun, max(1, class.Objective))
	}
	p.site.LocalZone, p.site.ReportPeriod = int(s.Zone), float64(refreshInterval.Milliseconds())
	p.site.FleetShare = 1 / float64(max(s.Nodes, 1))
	for i := range p.site.Zones {
		if i != p.site.LocalZone {
			p.site.Zones[i].CrossingPrice = s.Fees.CrossZone
		}
	}
	p.describeSite(f)
	return p
}

// describeSite takes over the links and the data sets of the file.
func (p *Placer) describeSite(f *File) {
	zone := func(name string) int { return slices.Index(p.names.Zones, name) }
	for _, link := range f.Links {
		bytesPerMs := link.Gbits * bytesPerGbit / 1000
		from, to := zone(link.From), zone(link.To)
		p.site.Links.Rate[from][to], p.site.Links.Rate[to][from] = bytesPerMs, bytesPerMs
	}
	for _, set := range f.Sets {
		var zones []int
		for _, name := range set.Zones {
			zones = append(zones, zone(name))
		}
		p.site.Catalogue.Add(site.IDOf(set.Name), set.Bytes, zones...)
	}
}

// Run refreshes the zones' capacity until the context ends.
func (p *Placer) Run(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		if all, err := p.machines.Executors(ctx); err == nil {
			p.refresh(all)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// nowMillis is the time in ms on a clock that nobody sets: it began with the wall clock and runs on with the
// monotonic one.
func (p *Placer) nowMillis() float64 {
	return float64(p.started.UnixMicro())/1000 + float64(p.now().Sub(p.started).Microseconds())/1000
}

// refresh takes in the listed executors: a zone's capacity is that of its executors that take work, and its wait
// is what this node has there beyond its part of the capacity. A zone without such an executor takes no jobs.
func (p *Placer) refresh(all []node.ExecutorInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready, out := make([]float64, len(p.site.Zones)), make([]float64, len(p.site.Zones))
	clear(p.executorZone)
	for _, m := range all {
		z := slices.Index(p.names.Zones, m.Zone)
		if z < 0 {
			continue
		}
		p.executorZone[m.Name] = z
		out[z] += float64(m.InFlight)
		if m.Condition() == dispatch.Ready {
			ready[z]++
		}
	}
	run := 0.0
	for _, r := range p.meanRun {
		run += r / float64(len(p.meanRun))
	}
	for z := range ready {
		slots := ready[z] * p.slotsPerExecutor
		over := max(0, out[z]/p.site.FleetShare-slots)
		p.site.Zones[z].Unreachable = ready[z] == 0
		p.site.UpdateZone(z, slots, 1, over/max(slots, 1)*run, p.nowMillis())
	}
}

// Place returns the prices of the zones for a job, and why. The caller calls ended once, with the executor and
// whether it was served.
func (p *Placer) Place(
	inputs []string,
	class int,
	left time.Duration,
) (prices []float64, why string, ended func(string, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := p.nowMillis()
	c := p.settings.Classes[min(class, len(p.settings.Classes)-1)]
	j := site.Job{
		Work:      p.meanRun[min(class, len(p.meanRun)-1)],
		Slots:     1,
		Objective: c.Objective * (1 + c.ObjectivePerWork),
		TimeLeft:  float64(left.Milliseconds()),
		Pinned:    -1,
	}
	for _, name := range inputs {
		j.Inputs = append(j.Inputs, site.Input{ID: site.IDOf(name)})
	}
	choice, err := p.site.Choose(j, began)
	if err != nil {
		p.log.Debug("no hall has a job done in time", "err", err)
		if choice.Zone < 0 {
			return nil, err.Error(), nil
		}
		return choice.Prices(len(p.site.Zones)), "data: " + choice.Reason() + " (late in any hall)", nil
	}
	placed := placedJob{placer: p, job: j, choice: choice, class: class, began: began}
	return choice.Prices(len(p.site.Zones)), "data: " + p.describe(choice), placed.ended
}

// placedJob is a job for which a zone was chosen.
type placedJob struct {
	placer *Placer
	job    site.Job
	choice site.Choice
	class  int
	began  float64 // in ms
}

// ended releases what the job reserved and learns from its run. The dispatcher may have chosen an executor of another
// zone: that zone has the data then.
func (j placedJob) ended(executor string, served bool) {
	p := j.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.nowMillis()
	zone, known := p.executorZone[executor]
	ran := served && known
	p.site.Ended(j.job, j.choice, ran && zone == j.choice.Zone, now)
	if ran && zone != j.choice.Zone {
		for _, input := range j.job.Inputs {
			p.site.Catalogue.AddCopy(input.ID, 0, zone, now)
		}
	}
	if served {
		mean := &p.meanRun[min(j.class, len(p.meanRun)-1)]
		*mean += (max(1, now-j.began) - *mean) * runLearningRate
	}
}

// describe returns the reason of a choice, with the zone by its name.
func (p *Placer) describe(c site.Choice) string {
	t := c.Costs[0]
	name := fmt.Sprint(t.Zone)
	if t.Zone < len(p.names.Zones) {
		name = p.names.Zones[t.Zone]
	}
	return fmt.Sprintf("%s: data %.0f ms, wait %.0f ms, run %.0f ms", name, t.Transfer, t.Wait, t.Run)
}

// Reserved returns how many choices have not ended.
func (p *Placer) Reserved() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.site.Reserved()
}
