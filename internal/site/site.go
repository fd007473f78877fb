// Package site decides in which hall a job that names its inputs is best run: the time to bring there what is missing against
// the wait for room, the run itself by the hall's machines, and the price of crossing. It does no I/O, reads no clock and starts
// no goroutine; the executor is still chosen by the decision module, for which a hall's cost is a price for each zone.
//
// # What it goes by
//
// A catalogue of which data stand where, links with what is on its way over them, waits by hall as they were last reported, and
// this node's own choices that no report shows yet. Many nodes see one report of one empty hall at one moment: each takes it
// that all of them do what it does itself, by its part of the fleet's jobs, so that the hall fills in its books before the
// next report comes. No node asks another; a stale report, a cut hall or a wrong entry costs time and never a rule.
package site

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gatetack/internal/fault"
)

// Figures of what is kept and believed.
const (
	mostHalls  = 16
	keepFor    = 3600e3 // ms that a copy which a job brought is believed in, unless it is used again
	fadeOver   = 3      // report periods over which an old wait is drawn to the fleet's mean
	priceSpan  = 1.0    // of the loss when all the time that the aim leaves is used up: prices are on the module's scale
	wrongFor   = 60e3   // ms that a hall is not believed to have what was not there
	moveCost   = 0.5    // of the time that a transfer takes a link, which others then wait for
	leastShare = 0.05   // of a link, that a transfer is taken to get at least
)

// ID names data in the catalogue.
type ID uint64

// Name gives a data set's.
func Name(text string) ID { return ID(xxhash.Sum64String(text)) }

// entry is what is kept of a data set: 24 bytes, beside its key and the map's own.
type entry struct {
	size   float32 // bytes
	halls  uint16  // that have it for good, by the operators' word
	copies uint16  // that have a copy which a job brought
	wrong  uint16  // that were found not to have it
	used   float64 // ms: when a copy was last used or found wrong
}

// Catalogue says which data stand where. It holds a bounded number: the copies used longest ago go first, then what else was;
// what an operator listed stays.
type Catalogue struct {
	most int
	all  map[ID]entry
}

// NewCatalogue makes one for so many data sets.
func NewCatalogue(most int) *Catalogue { return &Catalogue{most: most, all: map[ID]entry{}} }

// Len is how many are known.
func (c *Catalogue) Len() int { return len(c.all) }

// List takes in an operator's word: a data set of so many bytes stands in these halls for good. It reports whether there was room.
func (c *Catalogue) List(id ID, size float64, halls ...int) bool {
	e, ok := c.all[id]
	if !ok && len(c.all) >= c.most && !c.evict() {
		return false
	}
	e.size, e.halls = float32(size), 0
	for _, h := range halls {
		e.halls |= 1 << h
	}
	e.wrong = 0
	c.all[id] = e
	return true
}

// evict makes room for one: of some that are looked at, the copies used longest ago.
func (c *Catalogue) evict() bool {
	var oldest ID
	at, looked, found := math.Inf(1), 0, false
	for id, e := range c.all {
		if e.halls == 0 && e.used < at {
			oldest, at, found = id, e.used, true
		}
		if looked++; looked >= 64 && found {
			break
		}
	}
	delete(c.all, oldest)
	return found
}

// Brought takes in that a job that needed a data set ended in a hall: it has it now.
func (c *Catalogue) Brought(id ID, size float64, hall int, now float64) {
	e, ok := c.all[id]
	if !ok && len(c.all) >= c.most && !c.evict() {
		return
	}
	if size > 0 {
		e.size = float32(size)
	}
	e.copies |= 1 << hall
	e.wrong &^= 1 << hall
	e.used = now
	c.all[id] = e
}

// NotThere takes in that a hall does not have what it was believed to.
func (c *Catalogue) NotThere(id ID, hall int, now float64) {
	if e, ok := c.all[id]; ok {
		e.copies &^= 1 << hall
		e.wrong |= 1 << hall
		e.used = now
		c.all[id] = e
	}
}

// LostDisks takes in that a hall lost all copies that jobs brought there.
func (c *Catalogue) LostDisks(hall int) {
	for id, e := range c.all {
		if e.copies&(1<<hall) != 0 {
			e.copies &^= 1 << hall
			c.all[id] = e
		}
	}
}

// At gives a data set's size and the halls that are believed to have it now, as bits; not known is nowhere.
func (c *Catalogue) At(id ID, now float64) (size float64, halls uint16) {
	e, ok := c.all[id]
	if !ok {
		return 0, 0
	}
	halls = e.halls
	if now-e.used <= keepFor {
		halls |= e.copies
	}
	if now-e.used <= wrongFor {
		halls &^= e.wrong
	}
	return float64(e.size), halls
}

// Hall is what is known of one.
type Hall struct {
	Slots   float64 // of executors that take work
	Speed   float64 // of its machines, 1 for the standard
	Wait    float64 // ms until a job that comes now begins, as reported
	At      float64 // when, in ms
	Cut     bool    // nothing reaches it, or it drains: no job goes there, and nothing comes from it
	Far     float64 // price of crossing to it from here, on the module's scale
	unseen  float64 // work in ms that this node chose it for since the report, by all nodes' reckoning
	unseenN int
}

// Links are between halls.
type Links struct {
	Rate [mostHalls][mostHalls]float64 // bytes a ms, zero for none
	busy [mostHalls][mostHalls]float64 // until when what is on its way takes all of it
}

// coming is a data set on its way to a hall.
type coming struct {
	id   ID
	hall int
}

// Site decides for one node.
type Site struct {
	Catalogue *Catalogue
	Halls     []Hall
	Links     Links
	Period    float64 // ms between reports
	Part      float64 // of the fleet's jobs that come this way
	Here      int     // the hall this node is in
	arrives   map[coming]float64
}

// New makes one.
func New(halls, most int) *Site {
	return &Site{Catalogue: NewCatalogue(most), Halls: make([]Hall, halls), Period: 1000, Part: 1, arrives: map[coming]float64{}}
}

// Input is a data set that a job needs.
type Input struct {
	ID   ID
	Size float64 // bytes, if the job says; else the catalogue's
}

// Job is one that is to be placed.
type Job struct {
	Inputs []Input
	Work   float64 // ms on a standard machine
	Slots  float64
	Aim    float64 // ms from now until which it has its full worth
	Left   float64 // until its deadline
	Pinned int     // hall that it may only go to, -1 for any: what may have run is never sent on for a better hall
}

// Term is what a hall would cost a job.
type Term struct {
	Hall                   int
	Bring, Wait, Run, Done float64 // ms
	Bytes                  float64 // to be moved there
	Price                  float64 // on the module's scale
	Ok                     bool    // it can end there before its deadline
	moves                  float64 // ms that links are taken for it
}

func (t Term) String() string {
	return fmt.Sprintf("hall %d: data %.0f ms, wait %.0f ms, run %.0f ms", t.Hall, t.Bring, t.Wait, t.Run)
}

// Choice is what was decided.
type Choice struct {
	Hall  int
	Terms []Term  // of all halls, the best first
	Until float64 // ms, by the node's clock, until which it stands
	Work  float64 // reserved
}

// Why says in one line what decided.
func (c Choice) Why() string {
	if len(c.Terms) == 0 {
		return "no hall takes work"
	}
	text := c.Terms[0].String()
	if len(c.Terms) > 1 {
		text += "; next " + c.Terms[1].String()
	}
	return text
}

// NoHallError says that no hall can run a job in time.
type NoHallError struct{ Best Term }

func (e *NoHallError) Error() string {
	return fmt.Sprintf("site: no hall has the job done before its deadline; the best is %v", e.Best)
}

// Code is its kind.
func (*NoHallError) Code() string { return "site.no_hall" }

// Do is what can be done.
func (*NoHallError) Do() string {
	return "submit it with a later deadline, or copy its inputs to a hall with room first"
}

var _ = fault.Kind(&NoHallError{})

// Report takes in a hall's wait as of a time. What was chosen before it shows in it.
func (s *Site) Report(hall int, slots, speed, wait, at float64) {
	h := &s.Halls[hall]
	if at < h.At {
		return
	}
	// What was chosen while the report was on its way is not in it: of what is reserved the part since its time stays.
	keep := 0.0
	if at > h.At && s.Period > 0 {
		keep = math.Exp(-(at - h.At) / s.Period)
	}
	h.unseen *= keep
	h.Slots, h.Speed, h.Wait, h.At = slots, speed, wait, at
}

// meanWait is the fleet's, of the halls that take work.
func (s *Site) meanWait() float64 {
	mean, n := 0.0, 0.0
	for i := range s.Halls {
		if x := &s.Halls[i]; !x.Cut && x.Slots > 0 {
			mean += x.Wait
			n++
		}
	}
	return mean / max(n, 1)
}

// wait is how long a job waits for room in a hall by now.
func (s *Site) wait(h *Hall, mean, now float64) float64 {
	age := max(0, now-h.At)
	fade := math.Exp(-age / (fadeOver * max(s.Period, 1)))
	told := max(0, h.Wait-age*fade*0.5) // what waited then is being worked off
	ahead := h.unseen / max(h.Slots*h.Speed, 1e-3)
	return told*fade + mean*(1-fade) + ahead
}

// lacks is what a hall does not have of an input: its size and the halls that have it. Nothing is lacking of what is there; of what
// is on its way arrives says how much later it will be.
func (s *Site) lacks(in Input, hall int, now float64) (size float64, at uint16, arrives float64, lacks bool) {
	size, at = s.Catalogue.At(in.ID, now)
	if in.Size > 0 {
		size = in.Size
	}
	if at&(1<<hall) != 0 {
		return size, at, 0, false
	}
	if t, ok := s.arrives[coming{in.ID, hall}]; ok && t > now {
		return size, at, t - now, false
	}
	return size, at, 0, true
}

// source is the hall from which data are brought soonest, and how much later they are there; -1 where none is known to have them.
// Load is what the same job brings over the links from each hall besides.
func (s *Site) source(size float64, at uint16, hall int, load *[mostHalls]float64, now float64) (ms float64, from int) {
	ms, from = math.Inf(1), -1
	for f := range s.Halls {
		rate := s.Links.Rate[f][hall]
		if at&(1<<f) == 0 || rate <= 0 || s.Halls[f].Cut {
			continue
		}
		if t := max(0, s.Links.busy[f][hall]-now) + load[f] + size/rate; t < ms {
			ms, from = t, f
		}
	}
	return ms, from
}

// bring is how long it takes until all inputs are in a hall, and what has to be moved.
func (s *Site) bring(j *Job, hall int, now float64) (ms, bytes, moves float64) {
	var load [mostHalls]float64
	for _, in := range j.Inputs {
		size, at, arrives, lacks := s.lacks(in, hall, now)
		if !lacks {
			ms = max(ms, arrives)
			continue
		}
		best, from := s.source(size, at, hall, &load, now)
		if from < 0 { // nobody has it, as far as is known: it is brought from wherever it was made, at the worst link's rate
			best = size / max(s.slowest(hall), 1e-9)
		} else {
			load[from] += size / s.Links.Rate[from][hall]
			moves += size / s.Links.Rate[from][hall]
		}
		ms = max(ms, best)
		bytes += size
	}
	return ms, bytes, moves
}

func (s *Site) slowest(hall int) float64 {
	rate := math.Inf(1)
	for f := range s.Halls {
		if r := s.Links.Rate[f][hall]; r > 0 {
			rate = min(rate, r)
		}
	}
	if math.IsInf(rate, 1) {
		return 0
	}
	return rate * leastShare * 4
}

// terms are all halls' for a job.
func (s *Site) terms(j *Job, now float64) []Term {
	out, mean := make([]Term, 0, len(s.Halls)), s.meanWait()
	for i := range s.Halls {
		h := &s.Halls[i]
		if h.Cut || h.Slots < max(j.Slots, 1) || j.Pinned >= 0 && j.Pinned != i {
			continue
		}
		t := Term{Hall: i, Wait: s.wait(h, mean, now), Run: j.Work / max(h.Speed, 1e-3)}
		t.Bring, t.Bytes, t.moves = s.bring(j, i, now)
		t.Done = max(t.Bring, t.Wait) + t.Run // data come while it waits for room
		t.Ok = j.Left <= 0 || t.Done <= j.Left
		slack := max(j.Aim-j.Work, 100)
		t.Price = priceSpan*(t.Done-j.Work+moveCost*t.moves)/slack + h.Far
		out = append(out, t)
	}
	slices.SortStableFunc(out, func(a, b Term) int {
		if a.Ok != b.Ok {
			if a.Ok {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Hall, b.Hall))
	})
	return out
}

// Choose says where a job is best run, and reserves it. A job that no hall has done in time is an error, with the best there is.
func (s *Site) Choose(j Job, now float64) (Choice, error) {
	terms := s.terms(&j, now)
	if len(terms) == 0 {
		return Choice{Hall: -1}, &NoHallError{Term{Hall: -1, Done: math.Inf(1)}}
	}
	c := Choice{Hall: terms[0].Hall, Terms: terms, Until: now + s.Period, Work: j.Work * max(j.Slots, 1)}
	if !terms[0].Ok {
		return c, &NoHallError{terms[0]}
	}
	s.reserve(&j, c, now)
	return c, nil
}

// reserve books a choice: this node's part of what all nodes choose alike, and what is on its way for it.
func (s *Site) reserve(j *Job, c Choice, now float64) {
	h := &s.Halls[c.Hall]
	h.unseen += c.Work / max(s.Part, 0.01)
	h.unseenN++
	var alone [mostHalls]float64
	for _, in := range j.Inputs {
		size, at, _, lacks := s.lacks(in, c.Hall, now)
		if !lacks {
			continue
		}
		if ms, from := s.source(size, at, c.Hall, &alone, now); from >= 0 {
			// The others send over it as this one does.
			s.Links.busy[from][c.Hall] = max(now, s.Links.busy[from][c.Hall]) + size/s.Links.Rate[from][c.Hall]/max(s.Part, 0.01)
			s.arrives[coming{in.ID, c.Hall}] = now + ms
		}
	}
	if len(s.arrives) > 4096 {
		for k, t := range s.arrives {
			if t <= now {
				delete(s.arrives, k)
			}
		}
	}
}

// Ended returns a choice, in whatever way its job ended; there says whether it ran where it was to, with its inputs there.
func (s *Site) Ended(j Job, c Choice, there bool, now float64) {
	if c.Hall < 0 {
		return
	}
	h := &s.Halls[c.Hall]
	h.unseenN = max(0, h.unseenN-1)
	if h.unseenN == 0 {
		h.unseen = 0
	}
	for _, in := range j.Inputs {
		delete(s.arrives, coming{in.ID, c.Hall})
		if there {
			size, _ := s.Catalogue.At(in.ID, now)
			s.Catalogue.Brought(in.ID, max(size, in.Size), c.Hall, now)
		}
	}
}

// Reserved is how many choices have not been returned.
func (s *Site) Reserved() (n int) {
	for i := range s.Halls {
		n += s.Halls[i].unseenN
	}
	return n
}

// Prices are a choice's for the decision module: one for each hall, on the scale of its price for crossing. A hall that takes no
// work has the worst.
func (c Choice) Prices(halls int) []float64 {
	out := make([]float64, halls)
	worst := 0.0
	for _, t := range c.Terms {
		worst = max(worst, t.Price)
	}
	for i := range out {
		out[i] = worst + 1
	}
	for _, t := range c.Terms {
		out[t.Hall] = t.Price - c.Terms[0].Price
	}
	return out
}
