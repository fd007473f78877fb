package filter

import (
	"strconv"
	"strings"
	"time"
)

// hoursPerDay is the length of a day in spans, which have no time zone.
const hoursPerDay = 24

// text returns the value as text: a word, a quoted string, or an id that looks like a number.
func (v *valueNode) text() (string, bool) {
	switch {
	case v.Word != nil:
		return *v.Word, true
	case v.Number != nil:
		return *v.Number, true
	case v.String != nil:
		quoted := *v.String
		if quoted[0] == '\'' {
			return quoted[1 : len(quoted)-1], true
		}
		text, err := strconv.Unquote(quoted)
		return text, err == nil
	}
	return "", false
}

// span returns the value as a duration.
func (v *valueNode) span() (time.Duration, bool) {
	if v.Span == nil {
		return 0, false
	}
	text, factor := *v.Span, time.Duration(1)
	if days, ok := strings.CutSuffix(text, "d"); ok {
		text, factor = days+"h", hoursPerDay
	}
	span, err := time.ParseDuration(text)
	span *= factor
	return span, err == nil && span >= 0
}

// time returns a function from now to the value as a time. Only a span followed by "ago" depends on now.
func (v *valueNode) time() (at func(now time.Time) time.Time, ok bool) {
	if v.Ago {
		span, ok := v.span()
		return func(now time.Time) time.Time { return now.Add(-span) }, ok
	}
	text := ""
	switch {
	case v.Time != nil:
		text = strings.ToUpper(*v.Time)
	case v.String != nil:
		text, _ = v.text()
	default:
		return nil, false
	}
	for _, layout := range []string{time.RFC3339Nano, time.DateOnly} {
		if at, err := time.Parse(layout, text); err == nil {
			return func(time.Time) time.Time { return at }, true
		}
	}
	return nil, false
}
