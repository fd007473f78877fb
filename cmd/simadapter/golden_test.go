package main

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The recordings under testdata/golden are the input of the adapter's pipe on days of the simulator, cut after some
// frames, and for each frame the first bytes of the SHA-256 of the reply that the program gave before its code was
// reshaped. Texts of log lines are left out of it: only that a line is there counts. GOLDEN_UPDATE=1 writes the
// hashes anew.

const (
	goldenFrameBytes = 4  // of each reply's hash that are kept
	replyHeadBytes   = 8  // count of records, bytes of all
	logCode          = 8  // of a record of a reply that holds a log line
	goldenShown      = 64 // bytes of the reply that differs
)

func unzip(t *testing.T, path string) []byte {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	reader, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// withoutLogTexts gives the records of a reply with the texts of log lines taken out.
func withoutLogTexts(body []byte) ([]byte, error) {
	// Bytes behind a record's code and instance; those of a message and a log line come behind their length.
	fixed := map[byte]int{1: 4, 2: 12, 3: 1, 4: 0, 5: 12, 6: 6, 7: 16, 10: 4, 11: 4, 0: 4, logCode: 2}
	var out []byte
	for at := 0; at < len(body); {
		code := body[at]
		size, known := fixed[code]
		if !known || at+3+size > len(body) {
			return nil, fmt.Errorf("record of code %d at byte %d", code, at)
		}
		end := at + 3 + size
		switch code {
		case 0:
			end += int(binary.BigEndian.Uint16(body[end-2:]))
		case logCode:
			out = append(out, body[at:at+3]...)
			at = end + int(binary.BigEndian.Uint16(body[end-2:]))
			continue
		}
		if end > len(body) {
			return nil, fmt.Errorf("record of code %d at byte %d is cut", code, at)
		}
		out = append(out, body[at:end]...)
		at = end
	}
	return out, nil
}

// replies splits what the adapter wrote and hashes each reply.
func replies(t *testing.T, out []byte) (hashes []byte, bodies [][]byte) {
	t.Helper()
	for len(out) > 0 {
		size := int(binary.BigEndian.Uint32(out[4:]))
		body, err := withoutLogTexts(out[replyHeadBytes : replyHeadBytes+size])
		if err != nil {
			t.Fatalf("reply %d: %v", len(bodies), err)
		}
		sum := sha256.New()
		sum.Write(out[:4])
		sum.Write(body)
		hashes = append(hashes, sum.Sum(nil)[:goldenFrameBytes]...)
		bodies = append(bodies, body)
		out = out[replyHeadBytes+size:]
	}
	return hashes, bodies
}

// What was recorded on days of the simulator leads to the same replies, frame by frame.
func TestGoldenRecordings(t *testing.T) {
	paths, err := filepath.Glob("testdata/golden/*.in.gz")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no recordings: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".in.gz")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			if err := run(bytes.NewReader(unzip(t, path)), &out); err != nil {
				t.Fatal(err)
			}
			got, bodies := replies(t, out.Bytes())
			golden := strings.TrimSuffix(path, ".in.gz") + ".replies"
			if os.Getenv("GOLDEN_UPDATE") != "" {
				if err := os.WriteFile(golden, got, 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			for i := 0; i < min(len(want), len(got)); i++ {
				if want[i] != got[i] {
					frame := i / goldenFrameBytes
					t.Fatalf("the reply to frame %d differs from the golden one; it is now %x", frame,
						bodies[frame][:min(goldenShown, len(bodies[frame]))])
				}
			}
			if len(want) != len(got) {
				t.Errorf("%d replies, want %d", len(got)/goldenFrameBytes, len(want)/goldenFrameBytes)
			}
		})
	}
}
