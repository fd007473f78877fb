package batch

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gatetack/internal/boundedjson"
	"gatetack/internal/dispatch"
	"gatetack/internal/http1"
)

// resolve ends the UNDETERMINED state of a job by an operator's decision. Who decided, when and why is recorded.
// Nothing is sent again. The result "unsent" tells the client that it may submit the job again, so for a class with
// at-most-once requests it has to be forced.
func (f *Front) resolve(ctx context.Context, session, id string, body []byte) http1.Response {
	v, err := boundedjson.ParseObject(body, argumentsDepth)
	if err != nil {
		return problem(400, "INVALID_ARGUMENT", "body", "not an object of valid JSON")
	}
	as, by, why := v.Get("as").String(), v.Get("by").String(), v.Get("why").String()
	switch {
	case as != "done" && as != "failed" && as != "unsent":
		return problem(400, "INVALID_ARGUMENT", "as", "none of done, failed and unsent")
	case !http1.IsVisibleASCII(by) || len(by) > 64:
		return problem(400, "INVALID_ARGUMENT", "by", "not a word of 1 to 64 visible characters: who decides is on record")
	case len(why) > 256:
		return problem(400, "INVALID_ARGUMENT", "why", "over 256 bytes")
	}
	f.resolving.Lock()
	defer f.resolving.Unlock()
	j, r, ok := f.visible(ctx, session, id)
	switch {
	case !ok:
		return unknownJob(id)
	case r.State != Undetermined || j != nil || f.store == nil || r.Submitted.IsZero():
		return conflict(r, "only a job on record that may have run, and of which nothing more will be told, can be resolved")
	case f.ownedElsewhere(id):
		return conflict(r, "it is another node's job")
	case as == "unsent" && !v.Get("force").Bool() && f.atMostOnce(ctx, &r):
		return conflict(r, "a job of category "+quote(r.Category)+" must never run twice, and as unsent it may be submitted again: force says that it never ran for certain")
	}
	now := time.Now()
	switch as {
	case "done":
		r.State, r.SubState = Done, ""
	case "failed":
		r.State, r.SubState = Failed, subFailed
	case "unsent":
		r.State, r.SubState = Failed, subUnsent
	}
	r.Annotation = fmt.Sprintf("declared %s by %s at %s (%s); before: %s", as, by, now.UTC().Format(time.RFC3339), why, r.Annotation)
	if r.Finished.IsZero() {
		r.Finished = now
	}
	if err := f.recordResolution(ctx, &r); err != nil {
		return writeError(id, "the decision could not be recorded", err)
	}
	f.log.Warn("undetermined job resolved by an operator", "job", id, "as", as, "by", by, "why", why)
	return f.jobResponse(200, r)
}

// atMostOnce reports whether a job must never run twice, by the rules under which it was accepted. Without these on
// record the rules in force decide. A job counts as at most once if they cannot be read, or if its category is no longer
// configured.
func (f *Front) atMostOnce(ctx context.Context, r *Record) bool {
	stored, err := f.findClassRules(ctx, r)
	if err != nil {
		return true
	}
	if stored != nil {
		return stored.RetrySafety == retrySafetyNames[dispatch.AtMostOnce]
	}
	rules := f.core.Rules()
	i := slices.Index(rules.Names.Classes, r.Category)
	return i < 0 || rules.Settings.Classes[i].RetrySafety == dispatch.AtMostOnce
}
