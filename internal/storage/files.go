package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
	tempSuffix = ".tmp"
	lockName   = "lock"
)

// syncFile flushes a file or directory to stable storage. It is a variable so
// that tests can record the calls.
var syncFile = func(f *os.File) error { return f.Sync() }

// syncData flushes a file's contents and, of its metadata, only what is needed
// to read them back, such as the size. It is a variable for tests, too.
var syncData = func(f *os.File) error { return unix.Fdatasync(int(f.Fd())) }

// writeData appends data to a file. It is a variable for tests, too.
var writeData = func(f *os.File, data []byte) (int, error) { return f.Write(data) }

// ErrDiskFull means that the disk takes no more bytes and that the folder is as
// before. It isn't used where a lack of space leaves an unknown effect, such as when a
// renamed file can't be made durable.
var ErrDiskFull = errors.New("disk is full")

// markDiskFull wraps the error of a write without effect with ErrDiskFull if it is for
// lack of space.
func markDiskFull(err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrDiskFull, err)
	}
	return err
}

// syncFolder makes the creation, renaming and removal of files in a directory
// durable.
func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return syncFile(d)
}

// writeFile creates or replaces a file atomically and durably: it writes the parts of
// its data to a temporary file, syncs it and renames it to name. After a crash the file is
// either complete or unchanged.
func writeFile(folder, name string, data ...[]byte) error {
	path := filepath.Join(folder, name)
	if err := writeTempFile(path+tempSuffix, data...); err != nil {
		return markDiskFull(err)
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return markDiskFull(err)
	}
	return syncFolder(folder)
}

// writeTempFile creates or replaces a file and syncs it. After an error it removes
// the file, which would take the last space of a full disk.
func writeTempFile(path string, data ...[]byte) (err error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, os.Remove(path))
		}
	}()
	for _, part := range data {
		if _, err := writeData(f, part); err != nil {
			f.Close()
			return err
		}
	}
	if err := syncFile(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// lockFolder takes an exclusive lock on the folder, so that no two processes
// use it. It fails at once when the lock is taken. The kernel releases the lock
// when the returned file is closed or the process ends.
func lockFolder(folder string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("data folder %s is in use by another process: %w", folder, err)
	}
	return f, nil
}

// listNames returns the names of the files with the given suffix, sorted.
func listNames(folder, suffix string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), suffix) {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// removeFiles removes the named files and makes their removal durable.
func removeFiles(folder string, names []string) error {
	for _, name := range names {
		if err := os.Remove(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	if len(names) == 0 {
		return nil
	}
	return syncFolder(folder)
}

// removeTempFiles removes the temporary files that writeFile left behind when
// the process ended before the rename.
func removeTempFiles(folder string) error {
	names, err := listNames(folder, tempSuffix)
	if err != nil {
		return err
	}
	return removeFiles(folder, names)
}
