// Package pki has the certificates by which members of the store, and clients of the batch front, authenticate one
// another: mutual TLS with the standard library, from files of an authority of the operators' own. A Ring reads files
// that changed before the next connection, so that a key is rotated, or revoked, without a restart. It starts no
// goroutine and is safe for concurrent use.
package pki

import "errors"

// Files of a folder of keys. The authority's key is only where certificates are issued.
const (
	caCertFile  = "ca.pem"
	caKeyFile   = "ca.key"
	certFile    = "node.pem"
	keyFile     = "node.key"
	renewalFile = "node.renewal" // key and certificate of a renewal that is under way
	revokedFile = "revoked"      // serial numbers, one a line; # begins a comment
)

// Errors of certificates and keys.
var (
	ErrRevoked = errors.New("keys: the peer's certificate is revoked")
	ErrOpen    = errors.New("keys: a private key that others may read; have its mode be 0600")
)
