package boundedjson

import (
	"errors"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	"gatetack/internal/testenv"
	_ "gatetack/internal/testrand"
)

func TestParse(t *testing.T) {
	for _, x := range []struct {
		text string
		want error
	}{
		{`{"a":[1,{"b":"]]]]{{{{"}]}`, nil},
		{`[[["\\"]]]`, nil},
		{`"\"[[[["`, nil},
		{`[[[[1]]]]`, &DepthError{3, 3}},
		{`{"a":{"a":{"a":[`, &DepthError{3, 15}},
		{``, ErrSyntax},
		{`]]]][[[`, ErrSyntax},
		{`{"a":1`, ErrSyntax},
		{`"[`, ErrSyntax},
	} {
		value, err := Parse([]byte(x.text), 3)
		got, isDepth := errors.AsType[*DepthError](err)
		want, wantsDepth := errors.AsType[*DepthError](x.want)
		if isDepth != wantsDepth || isDepth && *got != *want || !isDepth && !errors.Is(err, x.want) {
			t.Errorf("%s: error %v, want %v", x.text, err, x.want)
		}
		if Valid([]byte(x.text), 3) != (err == nil) || err == nil && value.Raw != x.text {
			t.Errorf("%s: value %s, and Valid disagrees with Parse or not", x.text, value.Raw)
		}
	}
	if _, err := ParseObject([]byte(`[]`), 3); !errors.Is(err, ErrNotObject) {
		t.Errorf("a list: %v, want %v", err, ErrNotObject)
	}
}

// Guards against input that costs more than its length: nested, cut and random text is validated on a small stack, and
// text within the depth gets the verdict of gjson.
func TestCostIsBoundedByLength(t *testing.T) {
	const length, maxStackGrowth = 64 << 10, 256 << 10
	for _, text := range []string{
		strings.Repeat("[", length), strings.Repeat(`{"a":`, length/5),
		strings.Repeat("]", length/2) + strings.Repeat("[", length/2),
		strings.Repeat(`["`, length/2), strings.Repeat(`[{"a":`, length/6), strings.Repeat(`"\"[`, length/4),
	} {
		if grown := testenv.StackGrowth(func() { Valid([]byte(text), DocumentDepth) }); grown > maxStackGrowth {
			t.Errorf("%.12s...: the stack grew by %d bytes, want at most %d", text, grown, maxStackGrowth)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{"[", "]", "{", "}", `"a"`, ":", ",", "1", `\`, `"`, " "}), 0, 60)
		text := []byte(strings.Join(parts.Draw(t, "parts"), ""))
		within := checkDepth(text, 4) == nil
		if Valid(text, 4) != (within && gjson.ValidBytes(text)) { //nolint:forbidigo // the reference
			t.Fatalf("%s: within the depth %v, Valid %v", text, within, Valid(text, 4))
		}
		if gjson.ValidBytes(text) && nesting(gjson.ParseBytes(text)) <= 4 != within { //nolint:forbidigo // the reference
			t.Fatalf("%s: depth %d, within 4: %v", text, nesting(gjson.ParseBytes(text)), within)
		}
	})
}

// nesting returns the depth of a valid value.
func nesting(v gjson.Result) int {
	if !v.IsObject() && !v.IsArray() {
		return 0
	}
	deepest := 0
	v.ForEach(func(_, item gjson.Result) bool {
		deepest = max(deepest, nesting(item))
		return true
	})
	return 1 + deepest
}
