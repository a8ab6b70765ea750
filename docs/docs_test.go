package docs_test

import (
	"flag"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/command"
	"bergamotdrum.example/bergamotdrum/internal/reference"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

var update = flag.Bool("update", false, "write reference.md anew")

// Guards against a reference page that is older than the schema.
func TestReferenceIsCurrent(t *testing.T) {
	if *update {
		if err := os.WriteFile("reference.md", []byte(reference.Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile("reference.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(data) != reference.Page() {
		t.Fatal("reference.md is not current; run go test ./docs -update")
	}
	if row := regexp.MustCompile(`(?m)^.*\| +\|$`).FindString(string(data)); row != "" {
		t.Fatalf("a key has no meaning; set doc in its rule: %s", row)
	}
}

// Guards against a code without a row, a row without a code, and a row whose
// name, HTTP status, exit code or "not run" the programs contradict.
func TestResultCodesTable(t *testing.T) {
	data, err := os.ReadFile("result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[int32][]string{}
	for _, line := range regexp.MustCompile(`(?m)^\| *\d+ .*\|$`).FindAllString(string(data), -1) {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		number, _ := strconv.ParseInt(cells[0], 10, 32)
		if rows[int32(number)] != nil {
			t.Errorf("code %d has two rows", number)
		}
		rows[int32(number)] = cells
	}
	for number, name := range apiv1.ResultCode_name {
		if number == 0 {
			continue
		}
		checkRow(t, apiv1.ResultCode(number), strings.TrimPrefix(name, "RESULT_CODE_"), rows[number])
		delete(rows, number)
	}
	for number := range rows {
		t.Errorf("code %d is not in the schema", number)
	}
}

func checkRow(t *testing.T, code apiv1.ResultCode, name string, cells []string) {
	if len(cells) != 7 {
		t.Errorf("code %d %s: the row has %d cells, want 7", code, name, len(cells))
		return
	}
	want := []string{
		strconv.Itoa(int(code)), "`" + name + "`", strconv.Itoa(result.HTTPStatus(code)), strconv.Itoa(command.ExitCode(code)),
	}
	if got := cells[:4]; fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("code %d: the row starts with %v, want %v", code, got, want)
	}
	if run := cells[4]; run != runWords(code, run) {
		t.Errorf("code %d: the row says %q, want %q", code, run, runWords(code, run))
	}
	if cells[5] == "" || cells[6] == "" {
		t.Errorf("code %d: what happened or what to do is empty", code)
	}
}

// runWords is what the ranges of the schema fix: 1000, 2000 and 4000 are
// refusals before anything ran, 3000 is work that may have run. Elsewhere the
// header of the answer tells, and the row may say either.
func runWords(code apiv1.ResultCode, given string) string {
	switch code / 1000 {
	case 1, 2, 4:
		return "not run"
	case 3:
		return "may have run"
	}
	if given == "not run" || given == "may have run" || given == "see header" || given == "ran" {
		return given
	}
	return "not run, may have run, ran or see header"
}

var (
	shownCommand = regexp.MustCompile("(?m)^    bergamotctl (.*)$|`bergamotctl ([^`]+)`")
	helpExample  = regexp.MustCompile("(?m)^  bergamotctl (.*)$")
	placeholder  = strings.NewReplacer("OLD_ID", "1", "NEW_ID", "2", "--version N", "--version 3")
	quoted       = regexp.MustCompile(`"[^"]*"`)
)

// Guards against a page that tells operators a command or a flag that does not
// exist.
func TestCommandsInPagesParse(t *testing.T) {
	checked := 0
	for _, folder := range []string{".", "../examples"} {
		err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || filepath.Ext(path) != ".md" || path == "design.md" {
				return err
			}
			data, err := os.ReadFile(path)
			for _, m := range shownCommand.FindAllStringSubmatch(string(data), -1) {
				checked++
				parseCommand(t, path, m[1]+m[2])
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	parser, err := kong.New(&command.CLI{})
	if err != nil {
		t.Fatal(err)
	}
	for _, leaf := range parser.Model.Leaves(false) {
		for _, m := range helpExample.FindAllStringSubmatch(leaf.Detail, -1) {
			checked++
			parseCommand(t, leaf.Path(), m[1])
		}
	}
	if checked < 60 {
		t.Fatalf("only %d commands found", checked)
	}
}

// parseCommand accepts a command group without its subcommand, which a page
// may name as a whole.
func parseCommand(t *testing.T, path, text string) {
	parser, err := kong.New(&command.CLI{}, kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	text, _, _ = strings.Cut(text, " > ")
	text = strings.TrimRight(quoted.ReplaceAllString(placeholder.Replace(text), "text"), "\\ ")
	_, err = parser.Parse(strings.Fields(text))
	incomplete := err != nil && strings.HasPrefix(err.Error(), "expected ") && !strings.Contains(text, "--")
	if err != nil && !incomplete {
		t.Errorf("%s: bergamotctl %s: %v", path, text, err)
	}
}
