// Package locality applies data locality to jobs; package site makes the decisions. It reads the operators' file of
// data sets and links, tracks the capacity of each zone from this node's own counts and its endpoint list, and returns
// prices of the zones for a job that names its inputs. A Placer owns the state of the site and needs one goroutine,
// which its owner runs.
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
	refreshInterval = time.Second // of the capacity of the zones
	// runLearningRate is the weight of a job's run time in the mean run time of its class.
	runLearningRate = 0.05
	bytesPerGbit    = 1e9 / 8
)

// Core is the part of a node's core that a Placer needs.
type Core interface {
	// Rules returns the settings in force.
	Rules() *node.Rules
	// Executors returns the executors, each with the number of this node's attempts in flight there.
	Executors(context.Context) ([]node.ExecutorInfo, error)
}

// Placer determines the prices of the zones for the jobs of one node. It is safe for concurrent use.
type Placer struct {
	names            node.Names
	core             Core
	slotsPerExecutor float64
	log              *slog.Logger
	now              func() time.Time
	started          time.Time

	mu           sync.Mutex
	site         *site.Site
	executorZone map[string]int     // zone of each executor, by name
	meanRun      map[string]float64 // mean run time of each class by name, ms: indexes change with the settings
}

// Open reads the operators' file and returns a Placer for it.
func Open(path string, names node.Names, s dispatch.Settings, core Core, log *slog.Logger) (*Placer, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path, "data.file", err.Error()}
	}
	f, err := parse(path, data, names)
	if err != nil {
		return nil, err
	}
	return newPlacer(f, names, s, core, log), nil
}

func newPlacer(f *File, names node.Names, s dispatch.Settings, core Core, log *slog.Logger) *Placer {
	p := &Placer{
		names: names, core: core, slotsPerExecutor: float64(f.SlotsPerExecutor), log: log,
		now: time.Now, started: time.Now(),
		executorZone: map[string]int{}, meanRun: map[string]float64{}, site: site.New(max(len(names.Zones), 1), maxDataSets),
	}
	for i, name := range names.Classes {
		p.meanRun[name] = max(1, s.Classes[i].Objective)
	}
	p.site.LocalZone, p.site.ReportPeriod = int(s.Zone), float64(refreshInterval.Milliseconds())
	p.site.FleetShare = 1 / float64(max(s.Nodes, 1))
	p.addLinksAndSets(f)
	return p
}

// addLinksAndSets adds the links and the data sets of the file to the site.
func (p *Placer) addLinksAndSets(f *File) {
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

// Run refreshes the capacity of the zones until the context ends.
func (p *Placer) Run(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		if all, err := p.core.Executors(ctx); err == nil {
			p.refresh(all)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// nowMillis returns the time in ms on a clock that is never set: the wall clock at the start plus monotonic time.
func (p *Placer) nowMillis() float64 {
	return float64(p.started.UnixMicro())/1000 + float64(p.now().Sub(p.started).Microseconds())/1000
}

// refresh updates the zones from the listed executors. The capacity of a zone is that of its executors that accept
// work. Its wait is estimated from the number of this node's attempts there that exceed its share of the capacity. A
// zone without an executor that accepts work gets no jobs.
func (p *Placer) refresh(all []node.ExecutorInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ready, attempts := make([]float64, len(p.site.Zones)), make([]float64, len(p.site.Zones))
	clear(p.executorZone)
	for _, m := range all {
		z := slices.Index(p.names.Zones, m.Zone)
		if z < 0 {
			continue
		}
		p.executorZone[m.Name] = z
		attempts[z] += float64(m.InFlight)
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
		excess := max(0, attempts[z]/p.site.FleetShare-slots)
		p.site.Zones[z].Unreachable = ready[z] == 0
		p.site.UpdateZone(z, slots, 1, excess/max(slots, 1)*run, p.nowMillis())
	}
}

// Place returns the prices of the zones for a job, and the reason. The caller calls release once, when the job has
// ended, with the name of its executor and whether it was served. Release is nil if no zone was reserved.
func (p *Placer) Place(
	inputs []string,
	class *node.ClassRules,
	timeLeft time.Duration,
) (prices []float64, reason string, release func(string, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	startedAt := p.nowMillis()
	p.setCrossingPrice(p.core.Rules().Settings.Fees.CrossZone)
	c := &class.Rules
	j := site.Job{
		Work:      p.meanRunOf(class),
		Slots:     1,
		Objective: c.Objective * (1 + c.ObjectivePerWork),
		TimeLeft:  float64(timeLeft.Milliseconds()),
		Pinned:    -1,
	}
	for _, name := range inputs {
		j.Inputs = append(j.Inputs, site.Input{ID: site.IDOf(name)})
	}
	choice, err := p.site.Choose(j, startedAt)
	if err != nil {
		p.log.Debug("no hall has a job done in time", "err", err)
		if choice.Zone < 0 {
			return nil, err.Error(), nil
		}
		return choice.Prices(len(p.site.Zones)), "data: " + choice.Reason() + " (late in any hall)", nil
	}
	placed := placement{placer: p, job: j, choice: choice, class: class.Name, startedAt: startedAt}
	return choice.Prices(len(p.site.Zones)), "data: " + p.describe(choice), placed.release
}

// setCrossingPrice sets the price of a run in another zone than this node's. The caller holds the lock.
func (p *Placer) setCrossingPrice(price float64) {
	for i := range p.site.Zones {
		if i != p.site.LocalZone {
			p.site.Zones[i].CrossingPrice = price
		}
	}
}

// meanRunOf returns the mean run time of a class. That of a class without runs is taken from its latency objective. The
// caller holds the lock.
func (p *Placer) meanRunOf(class *node.ClassRules) float64 {
	mean, known := p.meanRun[class.Name]
	if !known {
		mean = max(1, class.Rules.Objective)
		p.meanRun[class.Name] = mean
	}
	return mean
}

// placement is the choice of a zone for a job.
type placement struct {
	placer    *Placer
	job       site.Job
	choice    site.Choice
	class     string
	startedAt float64 // ms, as returned by nowMillis
}

// release releases the reservation of the job and updates the mean run time of its class. The dispatcher may have
// chosen an executor in another zone, which then has the data.
func (j placement) release(executor string, served bool) {
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
		mean := p.meanRun[j.class]
		p.meanRun[j.class] = mean + (max(1, now-j.startedAt)-mean)*runLearningRate
	}
}

// describe returns the reason for a choice, with the name of the zone.
func (p *Placer) describe(c site.Choice) string {
	t := c.Costs[0]
	name := fmt.Sprint(t.Zone)
	if t.Zone < len(p.names.Zones) {
		name = p.names.Zones[t.Zone]
	}
	return fmt.Sprintf("%s: data %.0f ms, wait %.0f ms, run %.0f ms", name, t.Transfer, t.Wait, t.Run)
}

// Reserved returns the number of placed jobs that have not ended.
func (p *Placer) Reserved() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.site.Reserved()
}
