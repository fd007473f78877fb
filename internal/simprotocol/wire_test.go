package simprotocol

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"gatetack/internal/dispatch"
)

// frame encodes a batch from records in hexadecimal.
func frame(clock float64, records ...string) []byte {
	var body []byte
	for _, r := range records {
		b, err := hex.DecodeString(strings.Join(strings.Fields(r), ""))
		if err != nil {
			panic(err)
		}
		body = append(body, b...)
	}
	be := binary.BigEndian
	out := be.AppendUint32(nil, uint32(12+len(body)))
	out = be.AppendUint64(out, math.Float64bits(clock))
	return append(be.AppendUint32(out, uint32(len(records))), body...)
}

// samples has the example records of the protocol's documentation, and one built from its tables for each other code.
var samples = []struct {
	name string
	hex  string
	want Record
}{
	{"request", "09 0003 5d3a91c4 00 0000 91f03b7c55d20a64 406e000000000000 4028000000000000 40000000 00000000 01",
		Record{Code: CodeRequest, Instance: 3, Event: dispatch.Event{Kind: dispatch.EvRequest, Job: 0x5d3a91c4,
			Key: 0x91f03b7c55d20a64, TimeLeft: 240, Work: 12, Slots: 2, Flags: 1}}},
	{"timer", "01 0003 0000004d",
		Record{Code: CodeTimer, Instance: 3, Event: dispatch.Event{Kind: dispatch.EvTimer, Token: 77}}},
	{"gone", "02 0005 0e6f2b19",
		Record{Code: CodeGone, Instance: 5, Event: dispatch.Event{Kind: dispatch.EvClientDisconnected, Job: 0x0e6f2b19}}},
	{"list", "00 0003 00000029 02 00000002 03124a07 00 00 0000 01 3f800000 0000000000000000 " +
		"2c9011f2 01 00 0000 01 3fc00000 40b7d40000000000",
		Record{
			Code:     CodeList,
			Instance: 3,
			Event: dispatch.Event{Kind: dispatch.EvEndpoints, Version: 41, Form: dispatch.ListCached,
				Updates: []dispatch.EndpointUpdate{{Executor: 0x03124a07, Condition: dispatch.Ready, Weight: 1},
					{Executor: 0x2c9011f2, Zone: 1, Condition: dispatch.Ready, Weight: 1.5, StartedAt: 6100}}},
		}},
	{"note", "03 0003 5d3a91c4 0000 03124a07 01 3f000000",
		Record{Code: CodeNote, Instance: 3, Event: dispatch.Event{Kind: dispatch.EvNotification, Job: 0x5d3a91c4,
			Executor: 0x03124a07, Topic: 1, Amount: 0.5}}},
	{"outcome", "08 0003 5d3a91c4 0000 03124a07 0064 4032800000000000 01 00000000 00",
		Record{Code: CodeOutcome, Instance: 3, Event: dispatch.Event{Kind: dispatch.EvOutcome, Job: 0x5d3a91c4,
			Executor: 0x03124a07, Outcome: dispatch.Served, Elapsed: 18.5, Final: true}}},
	{"outcome with a report", "08 0003 5d3a91c4 0002 03124a07 012e 4032800000000000 00 00000007 02 3f800000 40000000",
		Record{Code: CodeOutcome, Instance: 3, Event: dispatch.Event{Kind: dispatch.EvOutcome, Job: 0x5d3a91c4, Attempt: 2,
			Executor: 0x03124a07, Outcome: dispatch.Full, Elapsed: 18.5, Report: []float32{1, 2}}}},
	{"probed", "0a 0003 2c9011f2 3ff6666666666666 0064 04 3f00000040e000003f1eb8523ecccccd",
		Record{Code: CodeProbed, Instance: 3, Event: dispatch.Event{Kind: dispatch.EvHealthCheck, Executor: 0x2c9011f2,
			Elapsed: 1.4, Outcome: dispatch.Served, Report: []float32{0.5, 7, 0.62, 0.4}}}},
	{"peer", "04 0003 00000002 0004 68692037",
		Record{Code: CodePeer, Instance: 3, Event: dispatch.Event{Kind: dispatch.EvGossip, From: 2, Data: []byte("hi 7")}}},
	{"first", "06 0003 5d3a91c4 4022800000000000 03124a07 0001",
		Record{
			Code:     CodeFirst,
			Instance: 3,
			Event: dispatch.Event{Kind: dispatch.EvStreamStarted, Job: 0x5d3a91c4, Elapsed: 9.25,
				Executor: 0x03124a07, Attempt: 1},
		}},
	{"stop", "07 0003", Record{Code: CodeStop, Instance: 3}},
	{"init", "05 0003 0000000000000009 00000004 6d653d31",
		Record{Code: CodeInit, Instance: 3, Seed: 9, Info: []byte("me=1")}},
}

func TestRecords(t *testing.T) {
	var all []string
	for _, s := range samples {
		all = append(all, s.hex)
		t.Run(s.name, func(t *testing.T) {
			b, err := NewReader(bytes.NewReader(frame(240, s.hex))).Read()
			if err != nil {
				t.Fatal(err)
			}
			if b.Clock != 240 || len(b.Records) != 1 || !reflect.DeepEqual(b.Records[0], s.want) {
				t.Errorf("got  %+v\nwant %+v", b.Records, s.want)
			}
		})
	}
	r := NewReader(bytes.NewReader(append(frame(1, all...), frame(2)...)))
	b, err := r.Read()
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range samples {
		if !reflect.DeepEqual(b.Records[i], s.want) {
			t.Errorf("%s in a long batch: got %+v", s.name, b.Records[i])
		}
	}
	if b, err = r.Read(); err != nil || b.Clock != 2 || len(b.Records) != 0 {
		t.Errorf("empty batch: %+v, %v", b, err)
	}
	if _, err = r.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v, want EOF", err)
	}
}

func TestEveryTruncationIsAnError(t *testing.T) {
	for _, s := range samples {
		whole := frame(240, s.hex)
		for n := 1; n < len(whole); n++ {
			// Truncated in the stream, and truncated within a frame whose length field matches.
			if _, err := NewReader(bytes.NewReader(whole[:n])).Read(); err == nil || errors.Is(err, io.EOF) {
				t.Fatalf("%s truncated to %d bytes: %v", s.name, n, err)
			}
			if n < 16 {
				continue
			}
			short := bytes.Clone(whole[:n])
			binary.BigEndian.PutUint32(short, uint32(n-4))
			var fe *FrameError
			if _, err := NewReader(bytes.NewReader(short)).Read(); !errors.As(err, &fe) {
				t.Fatalf("%s in a frame of %d bytes: %v", s.name, n, err)
			}
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	tests := []struct {
		name   string
		in     []byte
		offset int64
		reason string
	}{
		{"length too small", []byte{0, 0, 0, 11}, 0, "outside"},
		{"length too large", []byte{0xff, 0xff, 0xff, 0xff}, 0, "outside"},
		{"large length, no bytes", []byte{0x3f, 0xff, 0xff, 0xff, 1, 2}, 6, "unexpected EOF"},
		{"unknown record", frame(1, "0b 0003"), 16, "unknown record code 11"},
		{"second record unknown", frame(1, "07 0003", "63 0003"), 19, "unknown record code 99"},
		{"list form", frame(1, "00 0003 00000029 04 00000000"), 16, "form"},
		{"list count", frame(1, "00 0003 00000029 01 ffffffff"), 16, "count"},
		{"peer count", frame(1, "04 0003 00000002 0005 68692037"), 16, "count"},
		{"init count", frame(1, "05 0003 0000000000000009 7fffffff 6d"), 16, "count"},
		{"report count", frame(1, "0a 0003 2c9011f2 3ff6666666666666 0064 ff 3f000000"), 16, "count"},
		{"clock", frame(math.NaN()), 4, "clock"},
		{"record count", append(frame(1)[:12], 0, 0, 0, 9), 12, "count"},
		{"trailing bytes", append([]byte{0, 0, 0, 13}, append(frame(1)[4:], 7)...), 16, "left after"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := NewReader(bytes.NewReader(tt.in)).Read()
			var fe *FrameError
			if !errors.As(err, &fe) {
				t.Fatalf("got %v, want a FrameError", err)
			}
			if fe.Offset != tt.offset || !strings.Contains(err.Error(), tt.reason) {
				t.Errorf("got %v, want offset %d and %q", err, tt.offset, tt.reason)
			}
		})
	}
}

func TestLengthFieldAloneAllocatesNoMemory(t *testing.T) {
	r := NewReader(bytes.NewReader([]byte{0x3f, 0xff, 0xff, 0xff, 1, 2, 3}))
	if _, err := r.Read(); err == nil {
		t.Fatal("no error")
	}
	if cap(r.buf) > 2*readChunk {
		t.Errorf("%d bytes allocated for a frame of which 3 bytes arrived", cap(r.buf))
	}
}

func TestReply(t *testing.T) {
	tests := []struct {
		action dispatch.Action
		want   string
	}{
		{dispatch.Action{Kind: dispatch.ActSend, Job: 0x5d3a91c4, Executor: 0x03124a07, Delay: 80},
			"07 0003 5d3a91c4 03124a07 4054000000000000"},
		{dispatch.Action{Kind: dispatch.ActTimer, Delay: 500, Token: 77}, "05 0003 407f400000000000 0000004d"},
		{
			dispatch.Action{Kind: dispatch.ActLog, Text: "two servers known"},
			"08 0003 0011 74776f2073657276657273206b6e6f776e",
		},
		{dispatch.Action{Kind: dispatch.ActFetch}, "04 0003"},
		{dispatch.Action{Kind: dispatch.ActHealthCheck, Executor: 0x2c9011f2}, "0a 0003 2c9011f2"},
		{dispatch.Action{Kind: dispatch.ActCancel, Job: 0x5d3a91c4}, "06 0003 5d3a91c4 0000"},
		{dispatch.Action{Kind: dispatch.ActFail, Job: 0x0e6f2b19}, "0b 0003 0e6f2b19"},
		{dispatch.Action{Kind: dispatch.ActClose, Executor: 0x2c9011f2}, "01 0003 2c9011f2"},
		{
			dispatch.Action{Kind: dispatch.ActGossip, To: dispatch.AllPeers, Data: []byte("hi 7")},
			"00 0003 ffff 0004 68692037",
		},
		{dispatch.Action{Kind: dispatch.ActReject, Job: 0x0e6f2b19, Delay: 500}, "02 0003 0e6f2b19 407f400000000000"},
		{dispatch.Action{Kind: dispatch.ActPollList, Subscribe: true}, "03 0003 01"},
	}
	var p Reply
	for _, tt := range tests {
		p.Reset()
		if err := p.Add(3, &tt.action); err != nil {
			t.Fatal(err)
		}
		want := strings.Join(strings.Fields(tt.want), "")
		got := p.Bytes()
		if hex.EncodeToString(got[8:]) != want {
			t.Errorf("kind %d: got %x, want %s", tt.action.Kind, got[8:], want)
		}
		if binary.BigEndian.Uint32(got) != 1 || int(binary.BigEndian.Uint32(got[4:])) != len(got)-8 {
			t.Errorf("kind %d: header %x", tt.action.Kind, got[:8])
		}
	}
	p.Reset()
	if got := hex.EncodeToString(p.Bytes()); got != "0000000000000000" {
		t.Errorf("empty reply %s", got)
	}
	if p.Add(3, &dispatch.Action{Kind: 99}) == nil ||
		p.Add(3, &dispatch.Action{Kind: dispatch.ActGossip, Data: make([]byte, 257)}) == nil {
		t.Error("an action that the protocol does not have was encoded")
	}
}

const info = `balancers=3
me=2
clients.marksRetry=true
discovery=subscribe
familyInfo.classKind=-1,1
familyInfo.classStretch=2.0,1.75
familyInfo.progress=1000.0
familyInfo.reportX0=free_slots
familyInfo.tellsStart=true
fees.crossZone=0.02
invariants.answerSlack=16.0
invariants.coldFrom=0.31
limits.maxAttempts=4
limits.mayDuplicate=true
requestClasses.count=2
requestClasses.0.aim=400.0
requestClasses.0.deadline=6000.0
requestClasses.0.dedupScope=all
requestClasses.0.effect=free
requestClasses.1.aim=250.0
requestClasses.1.deadline=5000.0
requestClasses.1.dedupScope=cell
requestClasses.1.effect=guarded
requestClasses.1.window=40000.0
telemetry.fields=failed_ps,busy_reqs,cpu_share,x0,never_heard_of
telemetry.how=pull
tenants.count=1
tenants.0.name=any_name
tenants.0.portion=0.23
tenants.0.quotaRps=13.0
some.key.of.tomorrow=7
worthBy=work
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(info))
	if err != nil {
		t.Fatal(err)
	}
	if s.Nodes != 3 || s.Node != 2 || !s.PollsList || s.ProgressInterval != 1000 || !s.StartNotifications ||
		s.Fees.CrossZone != 0.02 ||
		s.SlowStartMinShare != 0.31 || s.MaxAttempts != 4 || !s.HedgingAllowed ||
		!s.WeightByWork {
		t.Errorf("got %+v", s)
	}
	want := []dispatch.Class{
		{
			Objective:        400,
			ObjectivePerWork: 2,
			Deadline:         6000,
			PriorityWeight:   1,
			RetrySafety:      dispatch.Idempotent,
			DedupScope:       dispatch.ScopeAll,
			Kind:             -1,
		},
		{
			Objective:        250,
			ObjectivePerWork: 1.75,
			Deadline:         5000,
			PriorityWeight:   1,
			RetrySafety:      dispatch.Keyed,
			DedupScope:       dispatch.ScopeCell,
			DedupWindow:      40000,
			Kind:             1,
		},
	}
	if !reflect.DeepEqual(s.Classes, want) {
		t.Errorf("classes %+v", s.Classes)
	}
	fields := []dispatch.ReportField{
		dispatch.FieldErrors,
		dispatch.FieldBusy,
		dispatch.FieldUtil,
		dispatch.FieldFree,
		dispatch.FieldOther,
	}
	if !reflect.DeepEqual(s.ReportFields, fields) || s.Telemetry != dispatch.ReportHealthChecks {
		t.Errorf("fields %v, telemetry %v", s.ReportFields, s.Telemetry)
	}
	if len(s.Tenants) != 1 || s.Tenants[0] != (dispatch.Tenant{ReservedShare: 0.23, Quota: 13}) {
		t.Errorf("tenants %+v", s.Tenants)
	}
}

// MaxRetryAfter is 0 unless the setting limits.retryAfter permits Retry-After in answers.
func TestRetryAfterNeedsPermission(t *testing.T) {
	for line, want := range map[string]float64{"limits.retryAfter=true": 2000, "limits.retryAfter=false": 0, "": 0} {
		s, err := ParseSettings([]byte(info + "limits.maxRetryAfter=2000.0\n" + line + "\n"))
		if err != nil || s.MaxRetryAfter != want {
			t.Errorf("%q: %v %v, want %v", line, s.MaxRetryAfter, err, want)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for line, key := range map[string]string{
		"balancers=many":                  "balancers",
		"balancers=1.5":                   "balancers",
		"invariants.fall=NaN":             "invariants.fall",
		"requestClasses.0.aim=":           "",
		"requestClasses.count=-1":         "requestClasses.count",
		"requestClasses.count=99999999":   "requestClasses.count",
		"limits.mayDuplicate=perhaps":     "limits.mayDuplicate",
		"familyInfo.classStretch=a,b":     "familyInfo.classStretch",
		"tenants.0.portion=+Inf":          "tenants.0.portion",
		"requestClasses.1.effect=perhaps": "",
	} {
		s, err := ParseSettings([]byte(info + line + "\n"))
		if key == "" {
			if err != nil {
				t.Errorf("%s: got error %v, want the documented default", line, err)
			}
			if strings.Contains(line, "effect") && s.Classes[1].RetrySafety != dispatch.AtMostOnce {
				t.Error("an unknown effect is not treated as the strictest one")
			}
			continue
		}
		var se *SettingError
		if !errors.As(err, &se) || se.Key != key {
			t.Errorf("%s: got error %v, want one that names %s", line, err, key)
		}
	}
}

func FuzzRead(f *testing.F) {
	for _, s := range samples {
		f.Add(frame(240, s.hex))
	}
	f.Add(frame(1))
	f.Add([]byte{0x3f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in))
		for {
			b, err := r.Read()
			if err != nil {
				return
			}
			if len(b.Records)*minRecordSize > len(in) {
				t.Fatalf("%d records from %d bytes", len(b.Records), len(in))
			}
			for i := range b.Records {
				if b.Records[i].Code == CodeInit {
					_, _ = ParseSettings(b.Records[i].Info)
				}
			}
		}
	})
}
