// Package pki manages the certificates for mutual TLS between members of the store, and between clients and the batch
// front. Keys and certificates are files that are issued by an authority of the operators. A Ring reloads changed files
// before the next connection, so that keys can be rotated or revoked without a restart. The package starts no goroutine
// and is safe for concurrent use.
package pki

import "errors"

// Files in a key folder. The key of the authority is present only where certificates are issued.
const (
	caCertFile  = "ca.pem"
	caKeyFile   = "ca.key"
	certFile    = "node.pem"
	keyFile     = "node.key"
	renewalFile = "node.renewal" // key and certificate of a renewal in progress
	revokedFile = "revoked"      // serial numbers, one a line; # begins a comment
)

// Errors of certificates and keys.
var (
	ErrRevoked        = errors.New("keys: the peer's certificate is revoked")
	ErrKeyPermissions = errors.New("keys: private key is accessible to other users, set its mode to 0600")
)
