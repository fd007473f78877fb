package simprotocol

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"gatetack/internal/dispatch"
)

// SettingError is the error of a setting whose value is invalid.
type SettingError struct {
	Key string
	Err error
}

func (e *SettingError) Error() string { return fmt.Sprintf("setting %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// settings parses path=value pairs and keeps the first error.
type settings struct {
	m   map[string]string
	err error
}

func (s *settings) fail(key string, err error) {
	if s.err == nil {
		s.err = &SettingError{key, err}
	}
}

func (s *settings) num(key string, absent float64) float64 {
	text, ok := s.m[key]
	if !ok || text == "" {
		return absent
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.fail(key, fmt.Errorf("not a number: %q", text))
		return absent
	}
	if math.IsNaN(v) || math.IsInf(v, 0) {
		s.fail(key, fmt.Errorf("not a finite number: %q", text))
		return absent
	}
	return v
}

func (s *settings) count(key string, absent int) int {
	v := s.num(key, float64(absent))
	if v != math.Trunc(v) || math.Abs(v) > 1<<31 {
		s.fail(key, fmt.Errorf("not a whole number: %v", v))
		return absent
	}
	return int(v)
}

func (s *settings) flag(key string) bool {
	switch s.m[key] {
	case "true", "1":
		return true
	case "false", "0", "":
		return false
	}
	s.fail(key, fmt.Errorf("neither true nor false: %q", s.m[key]))
	return false
}

func (s *settings) list(key string) []string {
	if s.m[key] == "" {
		return nil
	}
	return strings.Split(s.m[key], ",")
}

func (s *settings) numAt(key string, i int, absent float64) float64 {
	l := s.list(key)
	if i >= len(l) {
		return absent
	}
	v, err := strconv.ParseFloat(l[i], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		s.fail(key, fmt.Errorf("item %d is not a number: %q", i, l[i]))
		return absent
	}
	return v
}

// choice returns the value that words has for a setting, or absent if the setting is absent or its word is unknown.
func choice[T any](s *settings, key string, absent T, words map[string]T) T {
	if v, ok := words[s.m[key]]; ok {
		return v
	}
	return absent
}

// maxItems is the maximum length of a list of objects in the settings.
const maxItems = 1 << 16

func (s *settings) items(key string) int {
	n := s.count(key, 0)
	if n < 0 || n > maxItems {
		s.fail(key, fmt.Errorf("%d is outside 0..%d", n, maxItems))
		return 0
	}
	return n
}

// Effects maps the protocol's words for a class's effect to retry safety.
var Effects = map[string]dispatch.RetrySafety{
	"free": dispatch.Idempotent, "guarded": dispatch.Keyed, "single_shot": dispatch.AtMostOnce,
}

// Scopes maps the protocol's words for the scope in which a repeated job of a class is recognized.
var Scopes = map[string]dispatch.DedupScope{
	"all": dispatch.ScopeAll, "zone": dispatch.ScopeZone, "cell": dispatch.ScopeCell,
}

var fieldNames = map[string]dispatch.ReportField{
	"busy_reqs": dispatch.FieldBusy, "pending": dispatch.FieldPending, "cpu_share": dispatch.FieldUtil,
	"svc_ms": dispatch.FieldLatency, "served_ps": dispatch.FieldServed, "failed_ps": dispatch.FieldErrors,
}

// ParseSettings parses the settings of an instance's start. Unknown keys are ignored; absent ones get the
// defaults that dispatch.Settings documents. An invalid value is a SettingError.
func ParseSettings(info []byte) (dispatch.Settings, error) {
	pairs := make(map[string]string)
	for line := range strings.Lines(string(info)) {
		if key, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			pairs[key] = value
		}
	}
	return FromPairs(pairs)
}

// FromPairs converts path=value pairs to dispatch.Settings. Both the simulator's pipe and a node's JSON
// configuration use it.
func FromPairs(pairs map[string]string) (dispatch.Settings, error) {
	s := &settings{m: pairs}
	v := dispatch.Settings{
		Node: s.count("me", 0), Nodes: s.count("balancers", 1),
		Zone: s.count("zone", 0), MinStepInterval: s.num("step", 0),
		OverQuotaWeight: s.num("overShareWorth", 1), WeightByWork: s.m["worthBy"] == "work",
		PollsList:   s.m["discovery"] == "subscribe",
		LiveWeights: s.m["weights"] == "live",
		Telemetry: choice(s, "telemetry.how", dispatch.ReportNone, map[string]dispatch.Telemetry{
			"piggyback": dispatch.ReportAnswers, "pull": dispatch.ReportHealthChecks}),
		ProgressInterval: s.num("familyInfo.progress", 0), StartNotifications: s.flag("familyInfo.tellsStart"),
		MaxAttempts: s.count("limits.maxAttempts", 1), HedgingAllowed: s.flag("limits.mayDuplicate"),
		CancelAllowed: s.flag("limits.cancelling"), HealthChecksAllowed: s.flag("limits.probing"),
		GossipAllowed: s.flag("limits.peers"), ConnIdleTimeout: s.num("limits.connIdle", 0),
		ConnectTimeout: s.num("limits.connectTimeout", 0), MaxConcurrentStreams: s.count("limits.multiplex", 1),
		AnswerSlack: s.num("invariants.answerSlack", 0), MaxPollInterval: s.num("invariants.askWithin", 0),
		DrainGrace: s.num("invariants.drainGrace", 0), OverloadMultiple: s.num("invariants.fallMultiple", 1),
		OverloadWindow: s.num("invariants.fall", 0), SlowStartMinShare: s.num("invariants.coldFrom", 0),
		MaxSlowStartDuration: s.num("invariants.warmWithin", 0),
		Fees: dispatch.Fees{CrossZone: s.num("fees.crossZone", 0), Handshake: s.num("fees.handshake", 0),
			Origin: s.num("fees.origin", 0)},
	}
	if s.flag("limits.retryAfter") {
		v.MaxRetryAfter = s.num("limits.maxRetryAfter", 0)
	}
	for _, name := range s.list("telemetry.fields") {
		f := fieldNames[name]
		switch meaning := strings.ToLower(s.m["familyInfo.report"+strings.ToUpper(name)]); {
		case name != "x0" && name != "x1":
		case strings.Contains(meaning, "slot"):
			f = dispatch.FieldFree
		case strings.Contains(meaning, "memory"):
			f = dispatch.FieldMemory
		}
		v.ReportFields = append(v.ReportFields, f)
	}
	for i := range s.items("requestClasses.count") {
		p := "requestClasses." + strconv.Itoa(i) + "."
		v.Classes = append(v.Classes, dispatch.Class{
			Objective: s.num(p+"aim", 0), Deadline: s.num(p+"deadline", 0), PriorityWeight: s.num(p+"worth", 1),
			ObjectivePerWork: s.num(p+"aimStretch", s.numAt("familyInfo.classStretch", i, 0)),
			DedupWindow:      s.num(p+"window", 0),
			// An absent or unknown effect or scope is treated as the strictest one.
			RetrySafety: choice(s, p+"effect", dispatch.AtMostOnce, Effects),
			DedupScope:  choice(s, p+"dedupScope", dispatch.ScopeCell, Scopes),
			Kind:        int(s.numAt("familyInfo.classKind", i, -1)),
		})
	}
	for i := range s.items("tenants.count") {
		p := "tenants." + strconv.Itoa(i) + "."
		v.Tenants = append(v.Tenants, dispatch.Tenant{ReservedShare: s.num(p+"portion", 0), Quota: s.num(p+"quotaRps", 0)})
	}
	if s.err != nil {
		return dispatch.Settings{}, fmt.Errorf("wire: %w", s.err)
	}
	return v, nil
}
