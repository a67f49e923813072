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

// lockName is the file whose lock tells who owns a folder, and which says of whom that is.
const lockName = "lock"

// Dir is a folder of the system's. It must be there.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// List returns the names in the folder.
func (d Dir) List() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Read returns a file's bytes.
func (d Dir) Read(name string, most int64) ([]byte, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && int64(len(text)) > most {
		err = fmt.Errorf("%s: more than %d bytes", name, most)
	}
	return text, err
}

// Create opens an empty file.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Rename renames a file.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Sync makes the names in the folder survive.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock makes the folder this process's. The system gives a lock back when its process ends, however it does; the text
// in the file, the owner's process id and start, is left by one that did not end in order.
func (d Dir) Lock() (unlock func() error, left string, err error) {
	name := d.path(lockName)
	lock := flock.New(name, flock.SetPermissions(0o600))
	got, err := lock.TryLock()
	if err != nil {
		return nil, "", err
	}
	text, err := os.ReadFile(name)
	if !got {
		return nil, "", fmt.Errorf("%w: %s", ErrOwned, cut(text))
	}
	if err == nil {
		err = os.WriteFile(name, []byte(self()), 0o600)
	}
	if err != nil {
		return nil, "", errors.Join(err, lock.Unlock())
	}
	unlock = func() error { return errors.Join(os.Truncate(name, 0), lock.Unlock()) }
	return unlock, cut(text), nil
}

// cut is what is shown of a text that anybody may have written.
func cut(text []byte) string { return strings.ToValidUTF8(string(text[:min(len(text), 100)]), "?") }

// self names this process: a process id alone may be another's by now.
func self() string {
	start := "unknown"
	if stat, err := os.ReadFile("/proc/self/stat"); err == nil { // proc(5): the start is field 22, the name in () may hold blanks
		if fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:])); len(fields) > 19 {
			start = fields[19]
		}
	}
	return "process " + strconv.Itoa(os.Getpid()) + ", started " + start + " ticks after boot"
}
