package storage

import (
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

// syncFile makes a file or folder durable. Tests record the calls.
var syncFile = func(f *os.File) error { return f.Sync() }

// syncData makes the bytes of a file durable, and of its metadata only the
// size, which reading them back needs.
var syncData = func(f *os.File) error { return unix.Fdatasync(int(f.Fd())) }

// syncFolder makes created, renamed and removed names durable.
func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return syncFile(d)
}

// writeFile makes name hold data, either wholly or not at all after a crash.
func writeFile(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	f, err := os.OpenFile(path+tempSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return err
	}
	if err := syncFile(f); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return syncFolder(folder)
}

// lockFolder keeps a second process out of the folder. The kernel releases the
// lock when the process ends.
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

// listNames returns the sorted names with the given ending.
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

// removeAll removes the named files and makes that durable.
func removeAll(folder string, names []string) error {
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

// removeUnfinished removes files that were never renamed into place.
func removeUnfinished(folder string) error {
	names, err := listNames(folder, tempSuffix)
	if err != nil {
		return err
	}
	return removeAll(folder, names)
}
