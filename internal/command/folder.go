package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// baseVersionFile is the file in a folder of objects (the INI files of pools, teams,
// queues and the like that make up a configuration) that records the published
// version on which the objects are based.
const baseVersionFile = ".base-version"

// writeBaseVersion records the version on which the folder's objects are based.
func writeBaseVersion(folder string, version uint64) error {
	path := filepath.Join(folder, baseVersionFile)
	if err := os.WriteFile(path, []byte(strconv.FormatUint(version, 10)+"\n"), 0o600); err != nil {
		return fmt.Errorf("record the base version: %w", err)
	}
	return nil
}

// readBaseVersion returns the recorded version. The error is INVALID_ARGUMENT
// when the file is missing or malformed.
func readBaseVersion(folder string) (uint64, error) {
	path := filepath.Join(folder, baseVersionFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, invalidArgument("the folder has no recorded base version: get the objects with bergamotctl get, or give --expected-version (0 for the first publish)")
	}
	version, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, invalidArgument("%s does not hold a version number: get the objects anew with bergamotctl get", path)
	}
	return version, nil
}

// readSet reads and checks a folder of objects. It writes warnings to stderr. If
// there is any error, it prints all problems and returns CONFIG_INVALID.
func (a *app) readSet(folder string) (*apiv1.ObjectSet, error) {
	f := objects.ReadFolder(folder)
	problems := f.Check()
	if errs := settings.WithoutWarnings(problems); len(errs) > 0 {
		a.printMessage(&apiv1.CheckReply{Problems: objects.ConfigProblems(problems)}, func() {
			a.printProblems(objects.ConfigProblems(problems))
		})
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_CONFIG_INVALID, "%s in %s; nothing was sent", countOf(len(errs), "error"), folder)
	}
	for _, p := range problems {
		a.eprintf("%s", p)
	}
	return f.Set, nil
}
