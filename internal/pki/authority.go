package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gatetack/internal/atomicfile"
)

// Init creates a certificate authority in a folder that has none.
func Init(dir, name string, valid time.Duration, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); err == nil {
		return fmt.Errorf("keys: %s has an authority already", dir)
	}
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t, err := newTemplate(name, valid, now)
	if err != nil {
		return err
	}
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign|x509.KeyUsageCRLSign
	t.MaxPathLenZero = true
	der, err := x509.CreateCertificate(rand.Reader, t, t, &k.PublicKey, k)
	if err != nil {
		return err
	}
	encodedKey, err := encodeKey(dir, caKeyFile, k)
	if err != nil {
		return err
	}
	// The key is committed last, because Init rejects a folder with a key.
	return replaceAll(files, encodeCert(dir, caCertFile, der), encodedKey)
}

func newTemplate(name string, valid time.Duration, now time.Time) (*x509.Certificate, error) {
	if name == "" || len(name) > 64 {
		return nil, errors.New("keys: invalid name: expected 1 to 64 characters")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{"gatetack"}},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(valid),
	}, nil
}

// Issue creates a key and a certificate for a node, signed by the authority in dir, in the folder out. Issue also
// renews a certificate: each new file replaces the old one atomically.
func Issue(dir, out, name string, valid time.Duration, now time.Time) error {
	ca, err := tls.LoadX509KeyPair(filepath.Join(dir, caCertFile), filepath.Join(dir, caKeyFile))
	if err != nil {
		return fmt.Errorf("keys: the authority: %w", err)
	}
	if err := checkPrivate(filepath.Join(dir, caKeyFile)); err != nil {
		return err
	}
	root, err := x509.ParseCertificate(ca.Certificate[0])
	if err != nil {
		return err
	}
	if now.Add(valid).After(root.NotAfter) {
		return fmt.Errorf("keys: the authority ends on %s, before the certificate would", root.NotAfter.Format(time.DateOnly))
	}
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t, err := newTemplate(name, valid, now)
	if err != nil {
		return err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	t.DNSNames = []string{name}
	der, err := x509.CreateCertificate(rand.Reader, t, root, &k.PublicKey, ca.PrivateKey)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o700); err != nil {
		return err
	}
	unlock, err := atomicfile.Lock(out) // the files of two renewals would not match
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	defer unlock()
	pub, err := os.ReadFile(filepath.Join(dir, caCertFile))
	if err != nil {
		return err
	}
	encodedKey, err := encodeKey(out, keyFile, k)
	if err != nil {
		return err
	}
	// A kill between the renames of the key and of the certificate leaves files that do not match. The renewal file,
	// which is complete before these renames, contains both, and readPair falls back to it.
	cert := encodeCert(out, certFile, der)
	renewal := content{filepath.Join(out, renewalFile), slices.Concat(encodedKey.data, cert.data), privateMode}
	err = replaceAll(files, content{filepath.Join(out, caCertFile), pub, publicMode}, renewal, encodedKey, cert)
	if err != nil {
		return err
	}
	return files.Remove(renewal.path)
}
