package test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gatetack/internal/testenv"
)

// floods are requests that bad clients send again and again, each on a connection of its own. Each is as large as a
// request may be, or as expensive as its length allows.
var floods = []struct {
	name    string
	batch   bool // to the batch front, in place of the clients' address
	request string
}{
	{name: "callbacks of nested lists", request: post("/callback", strings.Repeat("[", 65000))},
	{name: "callbacks of nested objects", request: post("/callback", strings.Repeat(`{"load":`, 8000))},
	{name: "callbacks of many fields", request: post("/callback",
		"{"+strings.Repeat(`"a":1,`, 10000)+`"id":"a","from":"b","state":"done"}`)},
	{name: "callbacks of unknown jobs", request: post("/callback",
		`{"id":"00000000000000ff","from":"s-1","state":"done","result":"`+strings.Repeat("x", 60000)+`"}`)},
	{name: "callbacks of escaped text", request: post("/callback",
		`{"id":"`+strings.Repeat(`\u0061`, 10000)+`","from":"b","state":"done"}`)},
	{name: "jobs with large bodies", request: post("/tile-charge", strings.Repeat("x", 65000), "X-Trace-Id: no id")},
	{name: "jobs with many properties", request: post("/tile-charge", "x", "X-Trace-Id: a", "X-Expires-In-Ms: 10",
		"X-Customer: nobody", "X-Props: "+strings.Repeat("a=1,", 1900))},
	{name: "jobs with many header fields", request: post("/tile-charge", "x",
		slices.Repeat([]string{"X-Field: " + strings.Repeat("y", 200)}, 59)...)},
	{name: "chunks of one byte", request: "POST /callback HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strings.Repeat("1\r\n[\r\n", 20000) + "0\r\n\r\n"},
	{name: "nested batch sessions", batch: true, request: post("/drmaa2/v1/sessions", strings.Repeat("[", 65000))},
	{name: "nested batch jobs", batch: true, request: post("/drmaa2/v1/jobs", strings.Repeat(`{"payload":`, 5000))},
	{name: "nested filters", batch: true, request: "GET /drmaa2/v1/jobs?filter=" +
		url.QueryEscape("name = '"+strings.Repeat(")", 1000)+"' and "+strings.Repeat("(", 1000)) + " HTTP/1.1\r\nHost: a\r\n\r\n"},
}

func post(path, body string, fields ...string) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head + "\r\n" + body
}

// Guards against input that costs the node more than its length, from any number of senders: beside each flood usual
// clients are served before their deadlines, each bad client gets an error or a close, and the node stays within its
// memory limit.
func TestFloodsLeaveUsualClientsServed(t *testing.T) {
	const senders, usual, memoryMB = 60, 5, 192
	withoutRaceDetector := buildWithoutRaceDetector(t) // its figures of memory are those of the program
	for _, x := range floods {
		t.Run(x.name, func(t *testing.T) {
			n := newTestNode(t, 2, 50*time.Millisecond)
			n.program = withoutRaceDetector
			n.start()
			addr := n.listen
			if x.batch {
				addr = n.batch
			}
			var stop atomic.Bool
			var answered, unanswered atomic.Int32
			var flood sync.WaitGroup
			for range senders {
				flood.Go(func() {
					for !stop.Load() {
						if sendRaw(addr, x.request) {
							answered.Add(1)
						} else {
							unanswered.Add(1)
						}
					}
				})
			}
			n.until("each sender has been answered", func() bool { return answered.Load() >= 2*senders })
			for i := range usual {
				id := fmt.Sprintf("00000000000000%02x", i)
				m, err := testenv.CallFor(n.listen, 8*time.Second, "POST", "/tile-charge/cut", nil, testenv.JobFields(id, 7500*time.Millisecond)...)
				if err != nil || m.Status != 200 {
					t.Errorf("usual request %d: %+v, %v", i, m, err)
				}
			}
			stop.Store(true)
			flood.Wait()
			if unanswered.Load() > 0 {
				t.Errorf("%d bad requests got neither an error nor a close in time, %d did", unanswered.Load(), answered.Load())
			}
			peak := peakMemoryMB(t, n.process.Process.Pid)
			if peak > memoryMB {
				t.Errorf("the node's memory was %d MB, of %d", peak, memoryMB)
			}
			t.Logf("%d bad requests answered, at most %d MB", answered.Load(), peak)
		})
	}
}

// sendRaw sends a request on a connection of its own, and reports whether it was answered or closed within the 3 s that
// a bad client is owed. An answer that serves it as if it had run does not count.
func sendRaw(addr, request string) bool {
	c, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(c, request) // fails if the node closes the connection before it has read all
	answer, err := io.ReadAll(io.LimitReader(c, 64))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return !strings.HasPrefix(string(answer), "HTTP/1.1 200")
}

// peakMemoryMB returns the peak of a process's resident memory.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}
