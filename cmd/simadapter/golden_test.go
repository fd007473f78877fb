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

// The recordings under testdata/golden are the adapter's input in simulator runs, truncated after some frames. For
// each frame there are the first bytes of the SHA-256 hash of the expected reply. The hash excludes the texts of log
// lines, so only the presence of a line matters. GOLDEN_UPDATE=1 rewrites the hashes.

const (
	goldenFrameBytes = 4  // number of bytes stored of each reply's hash
	replyHeadBytes   = 8  // number of records and their size in bytes
	logCode          = 8  // code of a reply record that holds a log line
	goldenShown      = 64 // number of bytes shown of a reply that differs
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

// withoutLogTexts returns the records of a reply without the texts of log lines.
func withoutLogTexts(body []byte) ([]byte, error) {
	// Sizes of the fixed fields after a record's code and instance. The bytes of a message or log line follow its length.
	fixed := map[byte]int{1: 4, 2: 12, 3: 1, 4: 0, 5: 12, 6: 6, 7: 16, 10: 4, 11: 4, 0: 4, logCode: 2}
	var out []byte
	for at := 0; at < len(body); {
		code := body[at]
		size, known := fixed[code]
		if !known || at+3+size > len(body) {
			return nil, fmt.Errorf("unknown or truncated record of code %d at byte %d", code, at)
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
			return nil, fmt.Errorf("record of code %d at byte %d is truncated", code, at)
		}
		out = append(out, body[at:end]...)
		at = end
	}
	return out, nil
}

// replies splits the adapter's output into replies and hashes each one.
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

// The adapter must give the expected reply to each frame of the recorded simulator runs.
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
					t.Fatalf("reply to frame %d differs from the golden reply: got %x", frame,
						bodies[frame][:min(goldenShown, len(bodies[frame]))])
				}
			}
			if len(want) != len(got) {
				t.Errorf("%d replies, want %d", len(got)/goldenFrameBytes, len(want)/goldenFrameBytes)
			}
		})
	}
}
