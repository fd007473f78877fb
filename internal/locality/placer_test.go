package locality

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gatetack/internal/dispatch"
	"gatetack/internal/node"
	"gatetack/internal/testenv"
)

type executorList []node.ExecutorInfo

func (b executorList) Executors(context.Context) ([]node.ExecutorInfo, error) { return b, nil }

func (b executorList) Rules() *node.Rules { return &node.Rules{Settings: settings(), Names: names} }

var tileCharge = &node.ClassRules{Name: "tile-charge", Rules: settings().Classes[0]}

var names = node.Names{Zones: []string{"tallinn", "tartu"}, Classes: []string{"tile-charge"}}

func settings() dispatch.Settings {
	return dispatch.Settings{
		Nodes:   1,
		Zone:    0,
		Classes: []dispatch.Class{{Objective: 400, ObjectivePerWork: 2}},
		Fees:    dispatch.Fees{CrossZone: 0.03},
	}
}

const validFile = "links: [{from: tallinn, to: tartu, gbits: 1}]\nsets:\n" +
	"- {name: scene, bytes: 2e9, halls: [tartu]}\n- {name: near, bytes: 2e9, halls: [tallinn]}\n"

func open(t *testing.T, text string) (*Placer, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "data.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Open(path, names, settings(), executorList{}, testenv.DiscardLog)
}

func executor(name, zone, status string) node.ExecutorInfo {
	return node.ExecutorInfo{Endpoint: node.Endpoint{Name: name, Zone: zone, Status: status}}
}

func TestPlacePricesZonesByTheirDataAndExecutors(t *testing.T) {
	p, err := open(t, validFile)
	if err != nil {
		t.Fatal(err)
	}
	p.refresh(executorList{executor("a", "tallinn", "ready"), executor("b", "tartu", "ready")})
	prices, why, ended := p.Place([]string{"scene"}, tileCharge, time.Minute)
	if len(prices) != 2 || prices[1] != 0 || prices[0] <= 0.03 || !strings.Contains(why, "tartu") {
		t.Errorf("prices %v, reason %s; want tartu, which has the data", prices, why)
	}
	if p.Reserved() != 1 {
		t.Errorf("%d jobs reserved, want 1", p.Reserved())
	}
	ended("a", true) // the decision module chose the other zone: both zones have the data now
	if p.Reserved() != 0 {
		t.Errorf("%d jobs reserved after the end of the job, want 0", p.Reserved())
	}
	if prices, _, _ := p.Place([]string{"scene"}, tileCharge, time.Minute); prices[0] != 0 {
		t.Errorf("prices %v with the data in both zones, want this node's zone to be cheapest", prices)
	}
	// A zone without an executor that accepts work gets no jobs.
	p.refresh(executorList{executor("a", "tallinn", "ready"), executor("b", "tartu", "draining")})
	if prices, why, _ := p.Place([]string{"scene"}, tileCharge, time.Minute); prices[0] != 0 || prices[1] <= 0 {
		t.Errorf("prices %v, reason %s while the zone drains", prices, why)
	}
	p.refresh(nil)
	prices, why, ended = p.Place([]string{"scene"}, tileCharge, time.Minute)
	if prices != nil || ended != nil || why == "" {
		t.Errorf("prices %v, reason %s without any executor", prices, why)
	}
}

func TestInvalidFileIsRejectedWithItsField(t *testing.T) {
	for text, field := range map[string]string{
		"links: [{from: tallinn, to: narva, gbits: 1}]": "links[0].to",
		"links: [{from: tallinn, to: tartu, gbits: 0}]": "links[0].gbits",
		"sets: [{name: a, bytes: 1, halls: [x]}]":       "sets[0].halls",
		"sets: [{name: a, bytes: -1}]":                  "sets[0].bytes",
		"sets: [{name: a}, {name: a}]":                  "sets[1].name",
		"sets: [{name: ''}]":                            "sets[0].name",
		"slots_per_box: 0":                              "slots_per_box",
		"sits: []":                                      "yaml",
		validFile + "x":                                 "yaml",
		"sets: [{name: a, bytes: .nan}]":                "sets[0].bytes",
	} {
		_, err := open(t, text)
		var fileError *FileError
		if !errors.As(err, &fileError) || fileError.Field != field || fileError.Remedy() == "" {
			t.Errorf("file %q: error %v, want a *FileError for field %s", text, err, field)
		}
	}
}
