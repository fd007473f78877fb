package pki

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// newFolders creates the folder of an authority and one for each node.
func newFolders(t *testing.T, names ...string) (ca string, nodes []string) {
	t.Helper()
	ca = filepath.Join(t.TempDir(), "ca")
	if err := Init(ca, "Põhjakaart", 10*365*24*time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		dir := filepath.Join(t.TempDir(), name)
		if err := Issue(ca, dir, name, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		nodes = append(nodes, dir)
	}
	return ca, nodes
}

func open(t *testing.T, dir string) *Ring {
	t.Helper()
	r, err := Open(dir, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// serve runs an echo server with the keys of a ring and returns its address.
func serve(t *testing.T, r *Ring) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	tl := r.Listen(ln)
	g.Go(func() error {
		for {
			c, err := tl.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { _, _ = io.Copy(c, c); return c.Close() })
		}
	})
	t.Cleanup(func() { _ = ln.Close(); _ = g.Wait() })
	return ln.Addr().String()
}

// exchange sends four bytes and expects as many in response.
func exchange(addr string, c *tls.Config) error {
	conn, err := tls.Dial("tcp", addr, c)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Write([]byte("word")); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 4))
	return err
}

// Peers exchange data only if both have a valid certificate of the same authority. Revocations and renewals take effect
// at the next connection.
func TestPeersNeedAValidCertificate(t *testing.T) {
	ca, nodes := newFolders(t, "n0", "n1")
	server := open(t, nodes[0])
	addr := serve(t, server)
	client := open(t, nodes[1])
	if err := exchange(addr, client.Client()); err != nil {
		t.Fatal(err)
	}
	// Peers without a certificate, with one of another authority, and with an expired one are rejected.
	if err := exchange(addr, &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Error("a client without a certificate was accepted")
	}
	_, otherNodes := newFolders(t, "n1")
	if err := exchange(addr, open(t, otherNodes[0]).Client()); err == nil {
		t.Error("a client of another authority was accepted")
	}
	expired := filepath.Join(t.TempDir(), "expired")
	if err := Issue(ca, expired, "n1", time.Minute, time.Now().Add(-time.Hour)); err != nil {
		t.Fatal(err)
	}
	if err := exchange(addr, open(t, expired).Client()); err == nil {
		t.Error("a client with an expired certificate was accepted")
	}
	if err := exchange(
		serve(t, open(t, expired)),
		client.Client(),
	); err == nil ||
		!strings.Contains(err.Error(), "expired") {
		t.Errorf("an expired server: %v", err)
	}
	if err := exchange(serve(t, open(t, otherNodes[0])), client.Client()); err == nil {
		t.Error("a server of another authority was accepted")
	}
	// A revoked certificate is rejected from the next connection on, by both sides.
	shown, err := Describe(nodes[1])
	if err != nil || len(shown) != 2 || !shown[0].Authority || shown[1].Name != "n1" {
		t.Fatalf("%+v %v", shown, err)
	}
	if err := Revoke(nodes[0], shown[1].Serial); err != nil {
		t.Fatal(err)
	}
	if err := exchange(addr, client.Client()); err == nil {
		t.Error("a client with a revoked certificate was accepted")
	}
	if err := exchange(serve(t, client), server.Client()); !errors.Is(err, ErrRevoked) {
		t.Errorf("a revoked server: %v", err)
	}
	// After a renewal the peer is accepted again without a restart of either side.
	if err := Issue(ca, nodes[1], "n1", time.Hour, time.Now()); err != nil {
		t.Fatal(err)
	}
	if err := exchange(addr, client.Client()); err != nil {
		t.Errorf("a client with a renewed certificate: %v", err)
	}
	if err := exchange(addr, open(t, nodes[0]).Client()); err != nil {
		t.Errorf("the next client: %v", err)
	}
}

// Open rejects unusable files, for example a key with open permissions or one that does not match. A ring whose files
// become unusable keeps the last valid keys and reports the error.
func TestUnusableFilesLeaveTheLastValidKeys(t *testing.T) {
	ca, nodes := newFolders(t, "n0", "n1")
	var reported atomic.Int32
	r, err := Open(nodes[0], func(error) { reported.Add(1) })
	if err != nil {
		t.Fatal(err)
	}
	addr, client := serve(t, r), open(t, nodes[1])
	for what, corrupt := range map[string]func(dir string) error{
		"a key that others may read": func(dir string) error { return os.Chmod(filepath.Join(dir, keyFile), 0o644) },
		"half a certificate":         func(dir string) error { return os.Truncate(filepath.Join(dir, certFile), 100) },
		"no authority":               func(dir string) error { return os.Remove(filepath.Join(dir, caCertFile)) },
		"another's key": func(dir string) error {
			data, err := os.ReadFile(filepath.Join(nodes[1], keyFile))
			return errors.Join(err, os.WriteFile(filepath.Join(dir, keyFile), data, 0o600))
		},
		"a list of no numbers": func(dir string) error {
			return os.WriteFile(filepath.Join(dir, revokedFile), []byte("render1\n"), 0o644)
		},
	} {
		bad := filepath.Join(t.TempDir(), "bad")
		if err := errors.Join(Issue(ca, bad, "n2", time.Hour, time.Now()), corrupt(bad)); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(bad, nil); err == nil {
			t.Errorf("%s: the folder was opened", what)
		}
		before := reported.Load()
		if err := corrupt(nodes[0]); err != nil {
			t.Fatal(err)
		}
		if err := exchange(addr, client.Client()); err != nil || reported.Load() == before {
			t.Errorf("%s: %v, reported %v", what, err, reported.Load() > before)
		}
		_ = os.Remove(filepath.Join(nodes[0], revokedFile))
		if err := Issue(ca, nodes[0], "n0", time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	if err := Init(ca, "again", time.Hour, time.Now()); err == nil {
		t.Error("an existing authority was replaced")
	}
	if err := Issue(ca, t.TempDir(), "n9", 100*365*24*time.Hour, time.Now()); err == nil {
		t.Error("a certificate was issued that expires after its authority")
	}
	if err := Revoke(ca, "no number"); err == nil {
		t.Error("an invalid serial number was revoked")
	}
	info, err := os.Stat(filepath.Join(ca, caKeyFile))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the authority's key: %v %v", info.Mode(), err)
	}
}
