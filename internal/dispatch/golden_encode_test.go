package dispatch_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"testing"

	"gatetack/internal/dispatch"
)

// goldenAction encodes an action independently of the names and the order of the package's declarations, so that
// renames and reorderings do not change the golden files.
func goldenAction(t *testing.T, a *dispatch.Action) (decision []byte, logText string) {
	t.Helper()
	big := binary.BigEndian
	name := func(text string) { decision = append(decision, text...) }
	switch a.Kind {
	case dispatch.ActSend:
		name("send")
	case dispatch.ActReject:
		name("refuse")
	case dispatch.ActFail:
		name("fail")
	case dispatch.ActCancel:
		name("cancel")
	case dispatch.ActTimer:
		name("timer")
	case dispatch.ActHealthCheck:
		name("probe")
	case dispatch.ActClose:
		name("close")
	case dispatch.ActPollList:
		name("watch")
	case dispatch.ActFetch:
		name("fetch")
	case dispatch.ActGossip:
		name("tell")
	case dispatch.ActLog:
		name("log")
	default:
		t.Fatalf("action of unknown kind %d", a.Kind)
	}
	on := byte(0)
	if a.Subscribe {
		on = 1
	}
	decision = append(decision, 0, on)
	decision = big.AppendUint16(decision, a.Attempt)
	decision = big.AppendUint16(decision, a.To)
	decision = big.AppendUint32(decision, a.Job)
	decision = big.AppendUint32(decision, a.Executor)
	decision = big.AppendUint32(decision, a.Token)
	decision = big.AppendUint64(decision, math.Float64bits(a.Delay))
	decision = big.AppendUint32(decision, uint32(len(a.Data)))
	decision = append(decision, a.Data...)
	return decision, a.Text
}

// goldenActionText formats an action as readable text.
func goldenActionText(t *testing.T, a *dispatch.Action) string {
	decision, text := goldenAction(t, a)
	kind, _, _ := bytes.Cut(decision, []byte{0})
	return fmt.Sprintf("%s on=%v job=%d attempt=%d executor=%d to=%d token=%d for=%v data=%x %s",
		kind, a.Subscribe, a.Job, a.Attempt, a.Executor, a.To, a.Token, a.Delay, a.Data, text)
}
