package test

import (
	"os"
	"strings"
	"testing"

	"gatetack/internal/operr"

	// All packages with errors that reach an operator or a client.
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

// Each kind of error has a remedy in a sentence and a row on the page docs/on-call.md.
func TestErrorKindsHaveRemedies(t *testing.T) {
	page, err := os.ReadFile("../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	kinds := operr.Kinds()
	if len(kinds) < 15 {
		t.Fatalf("%d kinds of error, want at least 15", len(kinds))
	}
	for _, k := range kinds {
		if len(k.Remedy()) < 10 || k.Error() == "" {
			t.Errorf("%s: remedy %q is too short, or the error has no text", k.Code(), k.Remedy())
		}
		if !strings.Contains(string(page), "| `"+k.Code()+"` |") {
			t.Errorf("%s has no row in docs/on-call.md; expected remedy: %s", k.Code(), k.Remedy())
		}
	}
}
