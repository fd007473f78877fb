package sharedids

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"

	"gatetack/internal/atomicfile"
	"gatetack/internal/idclaims"
)

// fileName is the name of the file. Processes of several versions of the program share the directory: a version with
// another layout needs another name.
const fileName = "open-ids.1"

// fileMagic identifies the layout.
const fileMagic = 0x31736469_6574616f

const dirMode = 0o700

// layout is the content of the file.
type layout struct {
	magic  uint64
	seed   uint64        // of the hash of IDs
	owners atomic.Uint64 // number of times that the file was mapped; the next number identifies an owner
	_      [4096 - 3*8]byte
	slots  [idclaims.Slots]atomic.Uint64
}

const fileSize = int(unsafe.Sizeof(layout{}))

// errLayout is returned for a file that does not have the expected size or content.
var errLayout = errors.New("not a file of open request IDs")

// createFile creates the file, complete and under its name in one step. It succeeds if another process creates it at
// the same time. All blocks are written, since a write to a mapped page for which there is no space kills the process.
func createFile(path string) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	file, err := os.CreateTemp(dir, atomicfile.TempPrefix+fileName+"-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }()
	content := make([]byte, fileSize)
	head := (*layout)(unsafe.Pointer(&content[0]))
	head.magic, head.seed = fileMagic, rand.Uint64()
	_, err = file.Write(content)
	err = errors.Join(err, file.Sync(), file.Close())
	if err != nil {
		return err
	}
	if err := os.Link(file.Name(), path); !errors.Is(err, fs.ErrExist) {
		return err
	}
	return nil
}

// mapTable maps a file and returns the view of a new owner. The mapping stays until the process ends, because claims
// may refer to it.
func mapTable(file *os.File, size int64) (*idclaims.Table, error) {
	if size != int64(fileSize) {
		return nil, errLayout // beyond the end of a shorter file, memory accesses kill the process
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, fileSize, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	mapped := (*layout)(unsafe.Pointer(&memory[0]))
	if mapped.magic != fileMagic {
		return nil, errors.Join(errLayout, unix.Munmap(memory))
	}
	owner := uint8(mapped.owners.Add(1)%idclaims.MaxOwner) + 1
	return idclaims.New(&mapped.slots, mapped.seed, owner), nil
}
