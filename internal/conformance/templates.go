package conformance

import (
	"strconv"
	"strings"
	"time"
)

// template returns a job template that the endpoint accepts, with additional attributes as JSON. An additional
// category or account replaces the default one.
func (t *tester) template(more string) string {
	var attributes []string
	if !contains(more, "jobCategory") {
		attributes = append(attributes, `"jobCategory":`+strconv.Quote(t.category))
	}
	if t.account != "" && !contains(more, "accountingId") {
		attributes = append(attributes, `"accountingId":`+strconv.Quote(t.account))
	}
	if more != "" {
		attributes = append(attributes, more)
	}
	return "{" + strings.Join(attributes, ",") + "}"
}

// withMarker starts a template with additional attributes in the text of a case.
const withMarker = "{with:"

// arrayTail follows the template in the text of a case about arrays.
const arrayTail = `},"endIndex":4}`

// expand replaces the placeholders in a path or a body: {good} is a template, {with:MORE} one with additional
// attributes, {unique} a unique name, {later} and {soon} are times.
func (t *tester) expand(s string) string {
	if begin := strings.Index(s, withMarker); begin >= 0 {
		end := strings.LastIndex(s, "}")
		if strings.HasSuffix(s, arrayTail) {
			end = len(s) - len(arrayTail)
		}
		s = s[:begin] + t.template(s[begin+len(withMarker):end]) + s[end+1:]
	}
	if strings.Contains(s, "{unique}") {
		s = strings.ReplaceAll(s, "{unique}", t.uniqueName("u"))
	}
	now := time.Now().UTC()
	return strings.NewReplacer("{good}", t.template(""), "{category}", t.category, "{session}", t.session,
		"{later}", now.Add(time.Hour).Format(time.RFC3339Nano),
		"{soon}", now.Add(10*time.Minute).Format(time.RFC3339Nano)).Replace(s)
}

func (t *tester) expandRequest(r request) request {
	return request{r.verb, t.expand(r.path), t.expand(r.body)}
}
