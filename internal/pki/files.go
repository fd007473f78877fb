package pki

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"io/fs"
	"path/filepath"

	"gatetack/internal/atomicfile"
)

// files is the file system to which keys are written. Tests replace it.
var files = atomicfile.OS

// Modes of the files in a key folder.
const (
	privateMode = 0o600
	publicMode  = 0o644
)

// content is the content to be written to a file.
type content struct {
	path string
	data []byte
	mode fs.FileMode
}

func encodeKey(dir, name string, k *ecdsa.PrivateKey) (content, error) {
	der, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return content{}, err
	}
	return content{
		filepath.Join(dir, name),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}),
		privateMode,
	}, nil
}

func encodeCert(dir, name string, der []byte) content {
	return content{filepath.Join(dir, name), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), publicMode}
}

// replaceAll replaces files one after another once all of the new contents are on disk. If the disk has no space for
// one of them, no file is replaced, so that a full disk does not leave a key with the certificate of another key.
func replaceAll(fsys atomicfile.FS, contents ...content) error {
	staged := make([]*atomicfile.Staged, 0, len(contents))
	discardFrom := func(first int) {
		for _, s := range staged[first:] {
			s.Discard()
		}
	}
	for _, c := range contents {
		s, err := atomicfile.Stage(fsys, c.path, c.data, c.mode)
		if err != nil {
			discardFrom(0)
			return err
		}
		staged = append(staged, s)
	}
	for i, s := range staged {
		if err := s.Commit(); err != nil {
			discardFrom(i + 1)
			return err
		}
	}
	return nil
}
