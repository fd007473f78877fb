// Package pki has the certificates by which members of the store, and clients of the batch front, know one another:
// mutual TLS with the standard library, from files of an authority of the operators' own. Files that change are read
// again at the next connection: a key is rotated, and one revoked, without a restart.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"gatetack/internal/atomicfile"
)

// The files of a folder of keys. The authority's key is where certificates are issued, and nowhere else.
const (
	caCertFile  = "ca.pem"
	caKeyFile   = "ca.key"
	certFile    = "node.pem"
	keyFile     = "node.key"
	revokedFile = "revoked" // serial numbers, one a line; # begins a comment
)

// Errors that a peer's certificate leads to.
var (
	ErrRevoked = errors.New("keys: the peer's certificate is revoked")
	ErrOpen    = errors.New("keys: a private key that others may read; have its mode be 0600")
)

// Init makes an authority in a folder, which must not have one.
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
	keyFile, err := encodeKey(dir, caKeyFile, k)
	if err != nil {
		return err
	}
	// The key goes last: with one in the folder, Init makes no other.
	return replaceAll(files, encodeCert(dir, caCertFile, der), keyFile)
}

func newTemplate(name string, valid time.Duration, now time.Time) (*x509.Certificate, error) {
	if name == "" || len(name) > 64 {
		return nil, errors.New("keys: a name of 1 to 64 characters is needed")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name, Organization: []string{"gatetack"}},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(valid)}, nil
}

// Issue makes a key and a certificate for a node, signed by the authority in dir, into a folder out. Renewing is issuing
// again: the new files take the old ones' place, each in one step.
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
	pub, err := os.ReadFile(filepath.Join(dir, caCertFile))
	if err != nil {
		return err
	}
	keyFile, err := encodeKey(out, keyFile, k)
	if err != nil {
		return err
	}
	// The certificate goes last: a reader that finds a key and a certificate that do not fit keeps what it had.
	return replaceAll(files, content{filepath.Join(out, caCertFile), pub, publicMode}, keyFile, encodeCert(out, certFile, der))
}

// Revoke adds a certificate's serial number to a folder's list, which goes to every node.
func Revoke(dir, serial string) error {
	n, ok := new(big.Int).SetString(serial, 16)
	if !ok {
		return fmt.Errorf("keys: %q is no serial number in hexadecimal", serial)
	}
	path := filepath.Join(dir, revokedFile)
	old, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return atomicfile.Write(files, path, append(old, (n.Text(16)+"\n")...), publicMode)
}

// CertificateInfo is what there is to tell of a certificate: nothing secret.
type CertificateInfo struct {
	File, Name, Serial  string
	NotBefore, NotAfter time.Time
	Authority           bool
	Revoked             bool
}

// Describe tells of a folder's certificates.
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
		out = append(out, CertificateInfo{File: name, Name: c.Subject.CommonName, Serial: c.SerialNumber.Text(16), NotBefore: c.NotBefore, NotAfter: c.NotAfter,
			Authority: c.IsCA, Revoked: list[c.SerialNumber.Text(16)]})
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("keys: no certificates in %s", dir)
	}
	return out, nil
}

func parseCert(data []byte) (*x509.Certificate, error) {
	b, _ := pem.Decode(data)
	if b == nil {
		return nil, errors.New("no certificate in PEM")
	}
	return x509.ParseCertificate(b.Bytes)
}

func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%w: %s", ErrOpen, path)
	}
	return nil
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

// Ring is a folder's keys in use. Before each connection it looks whether a file has changed; one that can not be read
// leaves the last good keys in force, and is told of.
type Ring struct {
	dir     string
	onError func(error)

	mu              sync.Mutex
	readFingerprint string
	pair            *tls.Certificate
	roots           *x509.CertPool
	revoked         map[string]bool
}

// Open reads a folder's keys. Bad is told of files that can not be read later on.
func Open(dir string, bad func(error)) (*Ring, error) {
	r := &Ring{dir: dir, onError: bad}
	r.readFingerprint = r.fingerprint()
	return r, r.read()
}

// fingerprint is what changes with the files.
func (r *Ring) fingerprint() string {
	out := ""
	for _, name := range []string{caCertFile, certFile, keyFile, revokedFile} {
		if info, err := os.Stat(filepath.Join(r.dir, name)); err == nil {
			out += fmt.Sprintf("%s %d %d %v;", name, info.Size(), info.ModTime().UnixNano(), info.Mode())
		}
	}
	return out
}

func (r *Ring) read() error {
	if err := checkPrivate(filepath.Join(r.dir, keyFile)); err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(r.dir, certFile), filepath.Join(r.dir, keyFile))
	if err != nil {
		return fmt.Errorf("keys: %s: %w", r.dir, err)
	}
	root, err := os.ReadFile(filepath.Join(r.dir, caCertFile))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(root) {
		return fmt.Errorf("keys: no certificate in %s", filepath.Join(r.dir, caCertFile))
	}
	list, err := readRevoked(filepath.Join(r.dir, revokedFile))
	if err != nil {
		return err
	}
	r.pair, r.roots, r.revoked = &pair, pool, list
	return nil
}

// now gives the keys as the files have them.
func (r *Ring) current() (*tls.Certificate, *x509.CertPool, map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stamp := r.fingerprint(); stamp != r.readFingerprint {
		if err := r.read(); err != nil {
			r.onError(err) // and looked at again next time: files are replaced one after another
		} else {
			r.readFingerprint = stamp
		}
	}
	return r.pair, r.roots, r.revoked
}

// rejectRevoked refuses a peer whose certificate was revoked. That it is signed, in time and of use is seen to before.
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

// Server is the configuration of a listener: a peer must show a certificate of the authority's.
func (r *Ring) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, roots, list := r.current()
		// Tickets would let a peer come back by what it was before it was revoked.
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}, ClientCAs: roots,
			ClientAuth: tls.RequireAndVerifyClientCert, VerifyConnection: rejectRevoked(list), SessionTicketsDisabled: true}, nil
	}}
}

// Client is the configuration of a connection. The peer's certificate must be the authority's; whose it is is not asked,
// since members are known by addresses that change, and all of the authority's are trusted alike.
func (r *Ring) Client() *tls.Config {
	pair, roots, list := r.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}, InsecureSkipVerify: true, // verified below, without a name
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("keys: the peer shows no certificate")
			}
			if _, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}); err != nil {
				return err
			}
			return rejectRevoked(list)(s)
		}}
}

// Listen wraps a listener. Handshakes are made where a connection is first read, not where it is accepted: a peer that
// never begins one holds up nobody.
func (r *Ring) Listen(ln net.Listener) net.Listener { return tls.NewListener(ln, r.Server()) }
