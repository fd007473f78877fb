package store

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gatetack/internal/testenv"
)

// Of four members one is lost. Two operators remove one of the others each at the same time: either removal alone
// leaves a quorum, both do not. One is rejected and the store goes on.
func TestChangesOfMembersAtTheSameTimeKeepTheQuorum(t *testing.T) {
	all := cluster(t, 4)
	lead := leader(t, all)
	var others []*node
	for _, m := range all {
		if m != lead {
			others = append(others, m)
		}
	}
	lost := others[2]
	lost.stop()
	testenv.Until(t, "the loss is noticed", func() bool {
		_, members := callOperator(t, lead, "GET", "members", "")
		entry := members.Get(`#(name=="` + lost.cfg.Name + `").alive`)
		return entry.Exists() && !entry.Bool()
	})
	statuses := make([]int, 2)
	var g sync.WaitGroup
	for i, m := range others[:2] {
		body := fmt.Sprintf(`{"verb":"remove","name":%q,"force":true}`, m.cfg.Name)
		g.Go(func() { statuses[i], _ = callOperator(t, lead, "POST", "members", body) })
	}
	g.Wait()
	if min(statuses[0], statuses[1]) != http.StatusOK || max(statuses[0], statuses[1]) != http.StatusConflict {
		t.Errorf("statuses %v, want one 200 and one 409", statuses)
	}
	put(t, lead, "after", "v")
}

// A value that nodes share is written by hand only with the version that it is based on.
func TestWriteOfASharedValueNamesItsVersion(t *testing.T) {
	m := cluster(t, 1)[0]
	leader(t, []*node{m})
	const path = "kv/config/inventory"
	for _, verb := range []string{"PUT", "DELETE"} {
		if status, v := callOperator(t, m, verb, path, ""); status != http.StatusBadRequest {
			t.Errorf("%s without a version: %d %s", verb, status, v.Raw)
		}
	}
	status, v := callOperator(t, m, "PUT", path+"?if=0", "a")
	if status != http.StatusOK {
		t.Errorf("first write: %d %s", status, v.Raw)
	}
	if status, v := callOperator(t, m, "PUT", path+"?if=0", "b"); status != http.StatusConflict {
		t.Errorf("write with an outdated version: %d %s", status, v.Raw)
	}
	if status, v := callOperator(t, m, "DELETE", path+"?if="+v.Get("version").Raw, ""); status != http.StatusOK {
		t.Errorf("deletion with its version: %d %s", status, v.Raw)
	}
}
