package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/gofrs/flock"
)

// lockName is the lock file of a folder. It contains the identity of the owner.
const lockName = "lock"

// Dir is an existing folder of the file system. It implements FS.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// List returns the names of the regular files in the folder.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Read returns the content of a file, which may have at most limit bytes.
func (d Dir) Read(name string, limit int64) ([]byte, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = fmt.Errorf("%s: more than %d bytes", name, limit)
	}
	return text, err
}

// Create creates or truncates a file and opens it for writing.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Rename renames a file.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Sync makes changes of names in the folder durable.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks the folder for this process. The system releases the lock when the process ends for any reason. The lock file contains the owner's
// process id and start time, and is emptied by unlock; previousOwner is what a process that ended without unlocking has left in it.
func (d Dir) Lock() (unlock func() error, previousOwner string, err error) {
	name := d.path(lockName)
	lock := flock.New(name, flock.SetPermissions(0o600))
	got, err := lock.TryLock()
	if err != nil {
		return nil, "", err
	}
	text, err := os.ReadFile(name)
	if !got {
		return nil, "", fmt.Errorf("%w: %s", ErrOwned, printable(text))
	}
	if err == nil {
		err = os.WriteFile(name, []byte(processIdentity()), 0o600)
	}
	if err != nil {
		return nil, "", errors.Join(err, lock.Unlock())
	}
	unlock = func() error { return errors.Join(os.Truncate(name, 0), lock.Unlock()) }
	return unlock, printable(text), nil
}

// printable shortens a text of unknown origin and makes it valid UTF-8, to show it.
func printable(text []byte) string {
	return strings.ToValidUTF8(string(text[:min(len(text), 100)]), "?")
}

// processIdentity identifies this process by process id and start time, because process ids are reused.
func processIdentity() string {
	start := "unknown"
	if stat, err := os.ReadFile("/proc/self/stat"); err == nil { // proc(5): the start time is field 22; the name in () may contain spaces
		if fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:])); len(fields) > 19 {
			start = fields[19]
		}
	}
	return "process " + strconv.Itoa(os.Getpid()) + ", started " + start + " ticks after boot"
}
