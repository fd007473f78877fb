// Package placing carries what package site decides: it reads the operators' word on which data stand where, keeps what is known of
// each hall's room from this node's own counts and its list, and gives a job that names its inputs a price for each hall.
package placing

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"

	"gatetack/brain"
	"gatetack/internal/fault"
	"gatetack/internal/node"
	"gatetack/internal/site"
)

// File is the operators' word.
type File struct {
	Slots int `yaml:"slots_per_box"` // that a box of the list is taken to have; absent: 2
	Links []struct {
		From  string  `yaml:"from"`
		To    string  `yaml:"to"`
		Gbits float64 `yaml:"gbits"` // a second, in each direction
	} `yaml:"links"`
	Sets []struct {
		Name  string   `yaml:"name"`
		Bytes float64  `yaml:"bytes"`
		Halls []string `yaml:"halls"`
	} `yaml:"sets"`
}

// FileError says what is wrong with the operators' word, and where.
type FileError struct{ File, Field, Why string }

func (e *FileError) Error() string { return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Why) }

// Code is its kind.
func (*FileError) Code() string { return "data.file" }

// Do is what can be done.
func (*FileError) Do() string { return "correct the field in the file that data.file names" }

var _ = fault.Kind(&FileError{})

const (
	mostSets = 1 << 20
	every    = time.Second // between looks at the halls
)

// Machines tells which boxes are listed, and what of this node is out there.
type Machines interface {
	Machines(context.Context) ([]node.Machine, error)
}

// Placer places jobs for one node.
type Placer struct {
	names node.Names
	s     brain.Settings
	from  Machines
	slots float64
	log   *slog.Logger
	now   func() time.Time

	mu   sync.Mutex
	site *site.Site
	zone map[string]int // of each box
	runs []float64      // mean run of each class, ms
}

// Open reads the file.
func Open(path string, names node.Names, s brain.Settings, from Machines, log *slog.Logger) (*Placer, error) {
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

func parse(path string, data []byte, names node.Names) (*File, error) {
	f := &File{Slots: 2}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(f); err != nil && !errors.Is(err, io.EOF) {
		return nil, &FileError{path, "yaml", err.Error()}
	}
	hall := func(field, name string) error {
		if !slices.Contains(names.Zones, name) {
			return &FileError{path, field, fmt.Sprintf("%q is none of %s", name, strings.Join(names.Zones, ", "))}
		}
		return nil
	}
	if len(names.Zones) > 16 {
		return nil, &FileError{path, "halls", fmt.Sprintf("%d halls, expected 16 at most", len(names.Zones))}
	}
	if f.Slots < 1 || f.Slots > 1<<16 {
		return nil, &FileError{path, "slots_per_box", fmt.Sprintf("%d, expected 1 to 65536", f.Slots)}
	}
	for i, l := range f.Links {
		at := fmt.Sprintf("links[%d]", i)
		if err := errors.Join(hall(at+".from", l.From), hall(at+".to", l.To)); err != nil {
			return nil, err
		}
		if !(l.Gbits > 0 && l.Gbits <= 1e6) {
			return nil, &FileError{path, at + ".gbits", fmt.Sprintf("%v, expected over 0", l.Gbits)}
		}
	}
	if len(f.Sets) > mostSets {
		return nil, &FileError{path, "sets", fmt.Sprintf("%d, expected %d at most", len(f.Sets), mostSets)}
	}
	seen := map[string]bool{}
	for i, x := range f.Sets {
		at := fmt.Sprintf("sets[%d]", i)
		switch {
		case x.Name == "" || len(x.Name) > 512:
			return nil, &FileError{path, at + ".name", "expected 1 to 512 bytes"}
		case seen[x.Name]:
			return nil, &FileError{path, at + ".name", fmt.Sprintf("%q stands twice", x.Name)}
		case !(x.Bytes >= 0 && x.Bytes <= 1e18):
			return nil, &FileError{path, at + ".bytes", fmt.Sprintf("%v, expected 0 to 1e18", x.Bytes)}
		}
		seen[x.Name] = true
		for _, h := range x.Halls {
			if err := hall(at+".halls", h); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func newPlacer(f *File, names node.Names, s brain.Settings, from Machines, log *slog.Logger) *Placer {
	p := &Placer{names: names, s: s, from: from, slots: float64(f.Slots), log: log, now: time.Now, zone: map[string]int{},
		site: site.New(max(len(names.Zones), 1), mostSets)}
	for _, c := range s.Classes {
		p.runs = append(p.runs, max(1, c.Aim))
	}
	p.site.Here, p.site.Period = int(s.Zone), float64(every.Milliseconds())
	p.site.Part = 1 / float64(max(s.Balancers, 1))
	for i := range p.site.Halls {
		if i != p.site.Here {
			p.site.Halls[i].Far = s.Fees.CrossZone
		}
	}
	at := func(name string) int { return slices.Index(names.Zones, name) }
	for _, l := range f.Links {
		rate := l.Gbits * 1e9 / 8 / 1000
		p.site.Links.Rate[at(l.From)][at(l.To)], p.site.Links.Rate[at(l.To)][at(l.From)] = rate, rate
	}
	for _, x := range f.Sets {
		var halls []int
		for _, h := range x.Halls {
			halls = append(halls, at(h))
		}
		p.site.Catalogue.List(site.Name(x.Name), x.Bytes, halls...)
	}
	return p
}

// Run looks at the halls until the context ends.
func (p *Placer) Run(ctx context.Context) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		if all, err := p.from.Machines(ctx); err == nil {
			p.look(all)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Placer) ms() float64 { return float64(p.now().UnixMicro()) / 1000 }

// look takes in the boxes of the list: a hall's room is that of its boxes that take work, and the wait there what this node has out
// past its part of that. A hall without such a box takes none.
func (p *Placer) look(all []node.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes, out := make([]float64, len(p.site.Halls)), make([]float64, len(p.site.Halls))
	clear(p.zone)
	for _, m := range all {
		z := slices.Index(p.names.Zones, m.Zone)
		if z < 0 {
			continue
		}
		p.zone[m.Name] = z
		out[z] += float64(m.Out)
		if m.Condition() == brain.Ready {
			boxes[z]++
		}
	}
	run := 0.0
	for _, r := range p.runs {
		run += r / float64(len(p.runs))
	}
	for z := range boxes {
		slots := boxes[z] * p.slots
		over := max(0, out[z]/p.site.Part-slots)
		p.site.Halls[z].Cut = boxes[z] == 0
		p.site.Report(z, slots, 1, over/max(slots, 1)*run, p.ms())
	}
}

// Place gives the prices of the halls for a job, and why; ended is told once how it ended.
func (p *Placer) Place(inputs []string, class int, left time.Duration) (prices []float64, why string, ended func(string, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := p.ms()
	c := p.s.Classes[min(class, len(p.s.Classes)-1)]
	j := site.Job{Work: p.runs[min(class, len(p.runs)-1)], Slots: 1, Aim: c.Aim * (1 + c.Stretch), Left: float64(left.Milliseconds()), Pinned: -1}
	for _, name := range inputs {
		j.Inputs = append(j.Inputs, site.Input{ID: site.Name(name)})
	}
	choice, err := p.site.Choose(j, began)
	if err != nil {
		p.log.Debug("no hall has a job done in time", "err", err)
		if choice.Hall < 0 {
			return nil, err.Error(), nil
		}
		return choice.Prices(len(p.site.Halls)), "data: " + choice.Why() + " (late in any hall)", nil
	}
	return choice.Prices(len(p.site.Halls)), "data: " + p.named(choice), func(box string, served bool) {
		p.mu.Lock()
		defer p.mu.Unlock()
		now := p.ms()
		z, known := p.zone[box]
		p.site.Ended(j, choice, served && known && z == choice.Hall, now)
		if served && known && z != choice.Hall { // the module chose a box elsewhere: its hall has the data now
			for _, in := range j.Inputs {
				p.site.Catalogue.Brought(in.ID, 0, z, now)
			}
		}
		if i := min(class, len(p.runs)-1); served {
			p.runs[i] += (max(1, now-began) - p.runs[i]) * 0.05
		}
	}
}

// named is a choice's reason with halls by their names.
func (p *Placer) named(c site.Choice) string {
	t := c.Terms[0]
	name := fmt.Sprint(t.Hall)
	if t.Hall < len(p.names.Zones) {
		name = p.names.Zones[t.Hall]
	}
	return fmt.Sprintf("%s: data %.0f ms, wait %.0f ms, run %.0f ms", name, t.Bring, t.Wait, t.Run)
}

// Reserved is how many choices have not been returned.
func (p *Placer) Reserved() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.site.Reserved()
}
