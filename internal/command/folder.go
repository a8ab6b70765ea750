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

// baseFile records in a folder the version that its objects are based on.
const baseFile = ".base-version"

func writeBase(folder string, version uint64) error {
	path := filepath.Join(folder, baseFile)
	if err := os.WriteFile(path, []byte(strconv.FormatUint(version, 10)+"\n"), 0o600); err != nil {
		return fmt.Errorf("record the base version: %w", err)
	}
	return nil
}

func readBase(folder string) (uint64, error) {
	path := filepath.Join(folder, baseFile)
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, invalid("the folder has no recorded base version: get the objects with bergamotctl get, or give --expected-version (0 for the first publish)")
	}
	version, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, invalid("%s does not hold a version number: get the objects anew with bergamotctl get", path)
	}
	return version, nil
}

// readSet reads and checks a folder. Warnings go to the error output; with any
// error the set is refused as CONFIG_INVALID and the problems are printed.
func (a *app) readSet(folder string) (*apiv1.ObjectSet, error) {
	f := objects.ReadFolder(folder)
	problems := f.Check()
	if errs := settings.WithoutWarnings(problems); len(errs) > 0 {
		a.print(&apiv1.CheckReply{Problems: objects.ConfigProblems(problems)}, func() {
			a.printProblems(objects.ConfigProblems(problems))
		})
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_CONFIG_INVALID, "%s in %s; nothing was sent", count(len(errs), "error"), folder)
	}
	for _, p := range problems {
		a.note("%s", p)
	}
	return f.Set, nil
}
