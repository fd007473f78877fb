package pki

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"strings"

	"gatetack/internal/atomicfile"
)

// Revoke adds a serial number to the revocation list in a folder. Operators distribute the list to all nodes.
func Revoke(dir, serial string) error {
	n, ok := new(big.Int).SetString(serial, 16)
	if !ok {
		return fmt.Errorf("keys: %q is no serial number in hexadecimal", serial)
	}
	unlock, err := atomicfile.Lock(dir)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	defer unlock()
	path := filepath.Join(dir, revokedFile)
	old, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return atomicfile.Write(files, path, append(old, (n.Text(16)+"\n")...), publicMode)
}

func readRevoked(path string) (map[string]bool, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	out := map[string]bool{}
	n := 0
	for line := range strings.Lines(string(data)) {
		n++
		text, _, _ := strings.Cut(strings.TrimSpace(line), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		serial, ok := new(big.Int).SetString(text, 16)
		if !ok {
			return nil, fmt.Errorf("keys: %s, line %d: %q is no serial number in hexadecimal", path, n, text)
		}
		out[serial.Text(16)] = true
	}
	return out, nil
}

// rejectRevoked returns a verification function that rejects revoked certificates. Signature, validity and usage have
// been verified before it is called.
func rejectRevoked(list map[string]bool) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		for _, c := range s.PeerCertificates {
			if list[c.SerialNumber.Text(16)] {
				return fmt.Errorf("%w: %s, serial %s", ErrRevoked, c.Subject.CommonName, c.SerialNumber.Text(16))
			}
		}
		return nil
	}
}
