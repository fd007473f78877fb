package dispatch

import "testing"

// replaceClassZero puts the rules of class 0 in force under a further index, as a node does whose configuration had
// other rules for it before.
func replaceClassZero(t *testing.T, d *Dispatcher) {
	t.Helper()
	next := d.settings
	next.Classes = append(append([]Class{}, next.Classes...), next.Classes[0])
	next.ClassPositions = []int{-1, 1, 2, 0}
	if err := d.UpdateSettings(next, nil); err != nil {
		t.Fatal(err)
	}
}

// failAt makes node 0 send a job of a class, which fails, and lets the other nodes learn of it.
func (c *cluster) failAt(class uint8) (failing uint32) {
	c.t.Helper()
	c.lastJob++
	c.step(map[int]Event{0: request(c.lastJob, class, 0, 1)})
	for end := c.now + 300; len(c.sent[0]) == 0; c.step(nil) {
		if c.now >= end {
			c.t.Fatal("the job was not sent")
		}
	}
	failing = c.sent[0][0].Executor
	c.step(map[int]Event{0: outcome(c.lastJob, 0, failing, Errored)})
	c.run(50)
	return failing
}

// Guards against a class that is kept away from an executor because another one fails there: nodes named classes by
// their own indexes, which depend on the configurations that a node had before.
func TestQuarantineNamesTheSameClassAtAllNodes(t *testing.T) {
	c := newReadyCluster(t, 60, 20, fleet(3)...)
	const other = 29
	replaceClassZero(t, c.nodes[other])
	failing := c.failAt(0)
	c.sendJob(other, 300) // asks the aggregator
	d := c.nodes[other]
	executor := d.endpoints.byID[failing]
	if d.isClassQuarantined(executor, 0) || !d.isClassQuarantined(executor, 3) {
		t.Errorf("quarantined: class 0, which is retired, %v; class 3, which has its rules, %v; want false and true",
			d.isClassQuarantined(executor, 0), d.isClassQuarantined(executor, 3))
	}
	changed := d.settings
	changed.ClassPositions = []int{0, 1, 2, -1}
	if err := d.UpdateSettings(changed, nil); err != nil {
		t.Fatal(err)
	}
	if d.isClassQuarantined(executor, 0) {
		t.Error("a quarantine of a former configuration holds for the class that has its position now")
	}
}

// Guards against an executor that all nodes avoid, because a fourth class fails there: its quarantine was encoded as
// one for rejected connections.
func TestQuarantineOfAFourthClassIsNoneOfConnections(t *testing.T) {
	c := newReadyCluster(t, 60, 20, fleet(3)...)
	for _, d := range c.nodes {
		next := d.settings
		next.Classes = append(append([]Class{}, next.Classes...), next.Classes[0])
		if err := d.UpdateSettings(next, nil); err != nil {
			t.Fatal(err)
		}
	}
	failing := c.failAt(3)
	const other = 29
	c.sendJob(other, 300)
	d := c.nodes[other]
	if d.isQuarantined(d.endpoints.byID[failing], connectionQuarantine) {
		t.Error("the executor counts as one that accepts no connections")
	}
}
