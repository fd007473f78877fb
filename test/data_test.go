package test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// useTwoZones puts a node's two executors into two zones and configures a link between the zones and data sets in them.
func (s *testNode) useTwoZones(sets string) {
	s.t.Helper()
	for i, b := range s.executors {
		s.discovery.Put(&testenv.Executor{Name: b.Name, Addr: b.Addr, Zone: []string{"tallinn", "tartu"}[i], Type: "type-a", Group: i + 1}, "ready")
	}
	data := "links: [{from: tallinn, to: tartu, gbits: 1}]\nsets:\n" + sets
	if err := os.WriteFile(filepath.Join(s.dir, "data.yaml"), []byte(data), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.extraConfig += "data:\n  file: data.yaml\n"
}

// Five nodes have an executor in each of two zones, and the operators' file says which data sets are in which zone. Jobs that name
// their inputs run in the zone of these, at whichever node they are submitted. Once the executors of that zone drain, the jobs run
// in the other zone. A job never starts outside the zone of its data while that zone accepts work.
func TestJobsRunInTheZoneOfTheirData(t *testing.T) {
	f := makeFleet(t, 5, 20*time.Millisecond)
	for _, s := range f {
		s.useTwoZones("- {name: scene-t, bytes: 8e9, halls: [tartu]}\n- {name: scene-n, bytes: 8e9, halls: [tallinn]}\n")
	}
	f.startAll()
	n := 0
	round := func(input string, executor int) {
		t.Helper()
		var ids []string
		for i := range 10 {
			s := f[i%5]
			n++
			ids = append(ids, s.submitUntilAccepted(t, fmt.Sprintf(`{"jobCategory":"tile-charge","accountingId":"maavaade","payload":"%s %d","inputs":[%q]}`, input, n, input)))
		}
		for i, id := range ids {
			s := f[i%5]
			s.until("it is done", func() bool {
				_, v := s.drmaa("GET", "/jobs/"+id, "")
				return v.Get("jobState").String() == "DONE"
			})
			_, v := s.drmaa("GET", "/jobs/"+id, "")
			if got := v.Get("allocatedMachines").Raw + v.Get("machines").Raw + v.Raw; !strings.Contains(got, f[0].executors[executor].Name) {
				t.Errorf("input %s at %s: job %s, want it at executor %s",
					input, s.name, v.Raw, f[0].executors[executor].Name)
			}
			if text := v.Get("annotation").String(); text != "" && !strings.HasPrefix(text, "data: ") {
				t.Errorf("annotation %q, want the prefix \"data: \"", text)
			}
		}
	}
	time.Sleep(1200 * time.Millisecond) // each node has refreshed its view of the zones
	round("scene-t", 1)
	round("scene-n", 0)
	for _, s := range f {
		b := s.executors[1]
		s.discovery.Put(&testenv.Executor{Name: b.Name, Addr: b.Addr,
			Zone: "tartu", Type: "type-a", Group: 2}, "draining")
	}
	time.Sleep(1500 * time.Millisecond)
	round("scene-t", 0)
}
