package test

import (
	"os"
	"strings"
	"testing"

	"gatetack/internal/operr"

	// All that have errors which reach an operator or a client.
	_ "gatetack/internal/actor"
	_ "gatetack/internal/actorhost"
	_ "gatetack/internal/callbackrelay"
	_ "gatetack/internal/locality"
	_ "gatetack/internal/recovery"
	_ "gatetack/internal/settings"
	_ "gatetack/internal/settingsync"
	_ "gatetack/internal/site"
	_ "gatetack/internal/store"
)

// Each kind of error says what can be done, in a sentence, and has its line on the page for those on call.
func TestErrorsSayWhatCanBeDone(t *testing.T) {
	page, err := os.ReadFile("../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	kinds := operr.Kinds()
	if len(kinds) < 15 {
		t.Fatalf("%d kinds", len(kinds))
	}
	for _, k := range kinds {
		if len(k.Remedy()) < 10 || k.Error() == "" {
			t.Errorf("%s: %q", k.Code(), k.Remedy())
		}
		if !strings.Contains(string(page), "| `"+k.Code()+"` |") {
			t.Errorf("%s has no line in docs/on-call.md; it would say: %s", k.Code(), k.Remedy())
		}
	}
}
