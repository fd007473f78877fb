package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

func batch(clock float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	be := binary.BigEndian
	out := be.AppendUint32(nil, uint32(12+len(body)))
	out = be.AppendUint64(out, math.Float64bits(clock))
	return append(be.AppendUint32(out, uint32(len(records))), body...)
}

func start(instance uint16, info string) []byte {
	be := binary.BigEndian
	out := be.AppendUint16([]byte{5}, instance)
	out = be.AppendUint64(out, 42)
	return append(be.AppendUint32(out, uint32(len(info))), info...)
}

func cached(instance uint16) []byte {
	be := binary.BigEndian
	out := be.AppendUint16([]byte{0}, instance)
	out = append(be.AppendUint32(out, 1), 2)
	out = be.AppendUint32(be.AppendUint32(out, 1), 77)
	return append(append(out, 0, 0, 0, 0, 1), make([]byte, 12)...)
}

func query(instance uint16, id uint32) []byte {
	be := binary.BigEndian
	out := be.AppendUint32(be.AppendUint16([]byte{9}, instance), id)
	out = append(out, make([]byte, 11)...)
	out = be.AppendUint64(out, math.Float64bits(5000))
	out = be.AppendUint64(out, 0)
	return append(be.AppendUint32(out, math.Float32bits(1)), 0, 0, 0, 0, 0)
}

const info = "balancers=2\nrequestClasses.count=1\nrequestClasses.0.aim=400\nrequestClasses.0.deadline=5000\n" +
	"requestClasses.0.effect=free\nlimits.maxAttempts=3\n"

func TestRun(t *testing.T) {
	in := append(batch(1), batch(2, start(3, info), cached(3), start(4, info), cached(4))...)
	in = append(in, batch(5, query(3, 11), query(4, 12))...)
	stop := []byte{7, 0, 3}
	in = append(in, batch(9, query(3, 13), stop)...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), string([]byte{7, 0, 3, 0, 0, 0, 11, 0, 0, 0, 77})); n != 1 {
		t.Errorf("request 11 sent %d times, want once", n)
	}
	if n := strings.Count(out.String(), string([]byte{7, 0, 4, 0, 0, 0, 12, 0, 0, 0, 77})); n != 1 {
		t.Errorf("request 12 sent %d times, want once", n)
	}
	if !bytes.HasSuffix(out.Bytes(), make([]byte, 8)) {
		t.Error("a stopped instance acted in the batch that stopped it")
	}
}

func TestRunFails(t *testing.T) {
	for name, in := range map[string][]byte{
		"at byte 16: frame length 3": append(batch(1), 0, 0, 0, 3),
		"balancers: -1":              batch(1, start(3, info+"balancers=-1\n")),
		"requestClasses.count":       batch(1, start(3, "balancers=2\n")),
		"at byte 18: frame length":   append(batch(1), 0, 0),
		"at byte 16: unknown record": batch(1, []byte{0x63, 0, 3}),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if err == nil {
			t.Errorf("%s: no error", name)
			continue
		}
		if !strings.Contains(err.Error(), name) {
			t.Errorf("error %v does not contain %q", err, name)
		}
		if strings.ContainsRune(err.Error(), '\n') {
			t.Errorf("%s: error has more than one line: %v", name, err)
		}
	}
}
