package pki

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// CertificateInfo describes a certificate, without secrets.
type CertificateInfo struct {
	File, Name, Serial  string
	NotBefore, NotAfter time.Time
	Authority           bool
	Revoked             bool
}

// Describe returns the certificates in a folder: those of the authority and of the node, if they exist.
func Describe(dir string) ([]CertificateInfo, error) {
	list, err := readRevoked(filepath.Join(dir, revokedFile))
	if err != nil {
		return nil, err
	}
	var out []CertificateInfo
	for _, name := range []string{caCertFile, certFile} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		c, err := parseCert(data)
		if err != nil {
			return nil, fmt.Errorf("keys: %s: %w", name, err)
		}
		out = append(
			out,
			CertificateInfo{
				File:      name,
				Name:      c.Subject.CommonName,
				Serial:    c.SerialNumber.Text(16),
				NotBefore: c.NotBefore,
				NotAfter:  c.NotAfter,
				Authority: c.IsCA,
				Revoked:   list[c.SerialNumber.Text(16)],
			},
		)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("keys: no certificates in %s", dir)
	}
	return out, nil
}

func parseCert(data []byte) (*x509.Certificate, error) {
	b, _ := pem.Decode(data)
	if b == nil {
		return nil, errors.New("no PEM data found")
	}
	return x509.ParseCertificate(b.Bytes)
}
