package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

type checkCommand struct {
	Folder string `arg:"" help:"Folder with INI files of objects." type:"path"`
	Server bool   `help:"Also have the control leader check the set, and warn of zones in which nothing runs."`
}

func (checkCommand) Help() string {
	return `Reads every .ini file of the folder and checks all objects as one set. Every problem is listed
with file, section, key and the fix. Needs no connection unless --server is given.

Examples:
  bergamotctl check objects
  bergamotctl check objects --server -o json`
}

// Run checks the folder and prints the problems. The error is CONFIG_INVALID if
// there are errors; warnings alone are no error.
func (c *checkCommand) Run(ctx context.Context, a *app) error {
	f := objects.ReadFolder(c.Folder)
	reply := &apiv1.CheckReply{Problems: objects.ConfigProblems(f.Check())}
	if c.Server && len(f.Problems) == 0 {
		if err := c.checkOnServer(ctx, a, f.Set, reply); err != nil {
			return err
		}
	}
	errs := 0
	for _, p := range reply.Problems {
		if !p.Warning {
			errs++
		}
	}
	a.printMessage(reply, func() {
		a.printProblems(reply.Problems)
		a.printf("%s, %s", countOf(errs, "error"), countOf(len(reply.Problems)-errs, "warning"))
	})
	if errs > 0 {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_CONFIG_INVALID, "%s cannot be published", c.Folder)
	}
	return nil
}

// checkOnServer adds to the reply the problems that only the control leader can
// find: those of its own check, which may be from another release, and warnings
// of availability zones without a VM or an entry process. It does not repeat
// problems that are in the reply already.
func (c *checkCommand) checkOnServer(ctx context.Context, a *app, set *apiv1.ObjectSet, reply *apiv1.CheckReply) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	remote, err := client.Check(ctx, set)
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	known := map[string]bool{}
	for _, p := range reply.Problems {
		known[p.Section+"|"+p.Key+"|"+p.Message] = true
	}
	for _, p := range append(remote.Problems, objects.ConfigProblems(objects.UnusedZones(set, zonesInUse(status)))...) {
		if !known[p.Section+"|"+p.Key+"|"+p.Message] {
			reply.Problems = append(reply.Problems, p)
		}
	}
	reply.ConfigVersion = remote.ConfigVersion
	return nil
}

// zonesInUse returns the availability zones that have a VM or a session.
func zonesInUse(status *apiv1.StatusReport) []string {
	var used []string
	for _, z := range status.Zones {
		if z.VmsUp+z.VmsDown+z.Sessions > 0 {
			used = append(used, z.AvailabilityZone)
		}
	}
	return used
}

type diffCommand struct {
	Folder  string `arg:"" help:"Folder with INI files of objects." type:"path"`
	Version uint64 `help:"Compare with this version instead of the current one."`
}

func (diffCommand) Help() string {
	return `Lists what would change if the folder were published: one line for each object that is added or
removed and for each key that changes. Hashes of keys are never shown.

Examples:
  bergamotctl diff objects
  bergamotctl diff objects --version 12`
}

// Run prints the differences between a published version and the folder.
func (c *diffCommand) Run(ctx context.Context, a *app) error {
	set, err := a.readSet(c.Folder)
	if err != nil {
		return err
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	config, err := client.Config(ctx, c.Version)
	if err != nil {
		return err
	}
	a.printLines(objects.Diff(config.Objects, set), fmt.Sprintf("no difference from version %d", config.Version))
	return nil
}

type publishCommand struct {
	Folder          string        `arg:"" help:"Folder with INI files of objects." type:"path"`
	ExpectedVersion *uint64       `help:"Version the change is based on, instead of the one recorded in the folder."`
	RequestID       string        `help:"Request id of an earlier try whose outcome is unknown."`
	Comment         string        `help:"Reason of the change, shown by history."`
	Wait            time.Duration `help:"How long to wait until the version is in force." default:"30s"`
}

func (publishCommand) Help() string {
	return `Checks the folder, publishes it as one set, and waits until every entry works by it. The set is
refused when another operator published since the folder's base version: get the new version,
make the change again and publish. When the outcome is unknown, run the printed command again:
under the same request id a set is never published twice.

Examples:
  bergamotctl publish objects --comment "second pool for summaries"
  bergamotctl publish objects --expected-version 0
  bergamotctl publish objects --request-id 019ad1f2-0000-7000-8000-000000000001`
}

// Run publishes the folder, records the new version as the folder's base version
// and waits until it is in force. If the outcome of the publish is unknown, it
// prints the command that sends the same publish again.
func (c *publishCommand) Run(ctx context.Context, a *app) error {
	set, err := a.readSet(c.Folder)
	if err != nil {
		return err
	}
	cmd := &apiv1.PublishConfig{RequestId: c.RequestID, Objects: set, Comment: c.Comment}
	if c.ExpectedVersion != nil {
		cmd.ExpectedVersion = *c.ExpectedVersion
	} else if cmd.ExpectedVersion, err = readBaseVersion(c.Folder); err != nil {
		return err
	}
	if cmd.RequestId == "" {
		cmd.RequestId = operator.NewRequestID()
	}
	client, err := a.client()
	if err != nil {
		return err
	}
	reply, err := client.Publish(ctx, cmd)
	if result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN {
		a.eprintf("to learn the outcome, run: bergamotctl publish %s --expected-version %d --request-id %s --comment %q",
			c.Folder, cmd.ExpectedVersion, cmd.RequestId, cmd.Comment)
	}
	if err != nil {
		return err
	}
	if err := writeBaseVersion(c.Folder, reply.Version); err != nil {
		return err
	}
	return a.waitInForce(ctx, client, reply, c.Wait)
}

type getCommand struct {
	Folder  string `arg:"" optional:"" help:"Folder to write; the objects are printed when it is left out." type:"path"`
	Version uint64 `help:"Version from the history instead of the current one."`
	Force   bool   `help:"Overwrite the .ini files that are in the folder."`
}

func (getCommand) Help() string {
	return `Writes one .ini file for each kind of object and records the current version as the base of the
next publish. The files hold hashes of keys; printed objects do not. To go back to an older
version, get it with --version and publish the folder: that makes a new version with the old
objects.

Examples:
  bergamotctl get objects
  bergamotctl get objects --version 12 --force
  bergamotctl get -o json`
}

// Run prints a version, or writes it into the folder. The recorded base version
// is always the current one, because the next publish is compared with that.
func (c *getCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	current, err := client.Config(ctx, 0)
	if err != nil {
		return err
	}
	config := current
	if c.Version != 0 {
		if config, err = client.Config(ctx, c.Version); err != nil {
			return err
		}
	}
	if c.Folder == "" {
		a.printConfig(config)
		return nil
	}
	found, _ := filepath.Glob(filepath.Join(c.Folder, "*.ini"))
	if len(found) > 0 && !c.Force {
		return invalidArgument("%s holds .ini files already: name another folder, or overwrite them with --force", c.Folder)
	}
	if err := objects.WriteFolder(c.Folder, config.Objects); err != nil {
		return err
	}
	if err := removeStaleFiles(found, objects.Format(config.Objects)); err != nil {
		return err
	}
	if err := writeBaseVersion(c.Folder, current.Version); err != nil {
		return err
	}
	a.printf("wrote version %d to %s; the next publish is based on version %d", config.Version, c.Folder, current.Version)
	return nil
}

// removeStaleFiles removes those of the found files that were not written. They
// would define objects a second time.
func removeStaleFiles(found []string, written map[string][]byte) error {
	for _, path := range found {
		if _, ok := written[filepath.Base(path)]; ok {
			continue
		}
		if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
			return fmt.Errorf("remove the older objects: %w", err)
		}
	}
	return nil
}

// printConfig prints a version without the hashes of keys.
func (a *app) printConfig(config *apiv1.Config) {
	set := objects.Redacted(config.Objects)
	a.printMessage(&apiv1.Config{
		Version: config.Version, Objects: set, PublishedUnixMs: config.PublishedUnixMs,
		Author: config.Author, Comment: config.Comment,
	}, func() {
		a.printf("# version %d, published %s by %s", config.Version, formatTime(config.PublishedUnixMs), config.Author)
		for _, kind := range objects.Kinds() {
			if text := objects.Format(set)[kind+".ini"]; len(text) > 0 {
				a.printf("\n%s", text)
			}
		}
	})
}

type historyCommand struct{}

func (historyCommand) Help() string {
	return `Lists the last 50 versions, newest first, with time, operator and comment.

Example:
  bergamotctl history`
}

// Run prints the last versions.
func (historyCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	history, err := client.History(ctx)
	if err != nil {
		return err
	}
	a.printMessage(history, func() { printTable(a.stdout, "", history.Versions) })
	return nil
}
