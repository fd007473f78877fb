package pki

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
)

// Ring contains the keys and certificates that are loaded from a folder. Before each connection it checks whether a
// file has changed. If the changed files are unusable it reports the error and keeps the last valid keys.
type Ring struct {
	dir     string
	onError func(error)

	mu                sync.Mutex
	loadedFingerprint string
	pair              *tls.Certificate
	roots             *x509.CertPool
	revoked           map[string]bool
}

// Open loads the keys in a folder. onError is called with the errors of later reloads.
func Open(dir string, onError func(error)) (*Ring, error) {
	r := &Ring{dir: dir, onError: onError}
	r.loadedFingerprint = r.fingerprint()
	return r, r.read()
}

// fingerprint returns a text with the size, the time and the mode of each file, which changes when a file is replaced.
func (r *Ring) fingerprint() string {
	out := ""
	for _, name := range []string{caCertFile, certFile, keyFile, revokedFile} {
		if info, err := os.Stat(filepath.Join(r.dir, name)); err == nil {
			out += fmt.Sprintf("%s %d %d %v;", name, info.Size(), info.ModTime().UnixNano(), info.Mode())
		}
	}
	return out
}

// readPair returns the key and the certificate of a node. If their files do not match because a renewal was
// interrupted, it reads both from the renewal file.
func readPair(dir string) (tls.Certificate, error) {
	certPath, keyPath := filepath.Join(dir, certFile), filepath.Join(dir, keyFile)
	pair, err := tls.LoadX509KeyPair(certPath, keyPath)
	if err == nil {
		return pair, nil
	}
	renewalPath := filepath.Join(dir, renewalFile)
	if renewed, errRenewal := tls.LoadX509KeyPair(renewalPath, renewalPath); errRenewal == nil {
		return renewed, nil
	}
	return tls.Certificate{}, fmt.Errorf("keys: %s: %w", dir, err)
}

func (r *Ring) read() error {
	if err := checkPrivate(filepath.Join(r.dir, keyFile)); err != nil {
		return err
	}
	pair, err := readPair(r.dir)
	if err != nil {
		return err
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

// current returns the current keys, after reloading changed files.
func (r *Ring) current() (*tls.Certificate, *x509.CertPool, map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fingerprint := r.fingerprint(); fingerprint != r.loadedFingerprint {
		if err := r.read(); err != nil {
			r.onError(err) // retried at the next connection, because files are replaced one after another
		} else {
			r.loadedFingerprint = fingerprint
		}
	}
	return r.pair, r.roots, r.revoked
}

func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%w: %s", ErrKeyPermissions, path)
	}
	return nil
}

// Server returns the configuration of a listener, which requires that clients have a certificate of the authority.
func (r *Ring) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, roots, list := r.current()
		// With session tickets, a peer could resume a session that began before its certificate was revoked.
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}, ClientCAs: roots,
			ClientAuth: tls.RequireAndVerifyClientCert, VerifyConnection: rejectRevoked(list), SessionTicketsDisabled: true}, nil
	}}
}

// Client returns the configuration of a connection to a listener. The certificate of the server must be issued by the
// authority. Its name is not verified, because members are identified by addresses, which change, and all certificates
// of the authority are trusted equally.
func (r *Ring) Client() *tls.Config {
	pair, roots, list := r.current()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{*pair},
		InsecureSkipVerify: true, // verified below
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return errors.New("keys: the peer has sent no certificate")
			}
			if _, err := s.PeerCertificates[0].Verify(
				x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}},
			); err != nil {
				return err
			}
			return rejectRevoked(list)(s)
		},
	}
}

// Listen wraps a listener with TLS. The handshake takes place when a connection is first read, not when it is accepted,
// so that a peer that does not start the handshake does not delay others.
func (r *Ring) Listen(ln net.Listener) net.Listener { return tls.NewListener(ln, r.Server()) }
