package docs_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

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
