package settings

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds the size of a file. The largest configuration that is planned
// for, 460 teams with their accounts and keys, stays under 1 MiB.
const maxFileBytes = 16 << 20

// Section is one section of an INI file. Its keys are in the order of the file,
// with a repeated key listed once.
type Section struct {
	File  string
	Title string // as written between the brackets
	Keys  []KeyValue
}

// KeyValue is one key with the unparsed text of its value.
type KeyValue struct {
	Key, Value string
	isRepeated bool
}

// loadOptions keep repeated keys and sections apart, so that they can be reported,
// and disable continuation lines.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
	KeyValueDelimiters:         "=",
}

// ReadFile reads the sections of an INI file, as Parse does.
func ReadFile(path string) ([]Section, []Problem) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []Problem{{
			Kind: Unreadable, File: path, Message: fmt.Sprintf("the file cannot be read: %v", err),
			Fix: "check that the file exists and that this user may read it",
		}}
	}
	return Parse(path, data)
}

// Parse reads the sections of the contents of an INI file, and returns them with
// the problems of its syntax. The file's name appears only in problems.
func Parse(file string, data []byte) ([]Section, []Problem) {
	if len(data) > maxFileBytes {
		return nil, []Problem{{
			Kind: Unreadable, File: file, Message: fmt.Sprintf("the file has more than %d bytes", maxFileBytes),
			Fix: "split the file",
		}}
	}
	data, problems := checkLines(file, data)
	f, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, append(problems, syntaxProblem(file, 0, "the file is not valid INI", "write [section] lines and key = value lines only"))
	}
	var sections []Section
	for _, s := range f.Sections() {
		sec := Section{File: file, Title: s.Name()}
		for _, k := range s.Keys() {
			sec.Keys = append(sec.Keys, KeyValue{k.Name(), k.Value(), len(k.ValueWithShadows()) > 1})
		}
		if s.Name() != ini.DefaultSection {
			sections = append(sections, sec)
			continue
		}
		for _, k := range sec.Keys {
			problems = append(problems, Problem{
				Kind: UnknownSection, File: file, Key: k.Key, Message: "the key stands before any section",
				Fix: "move it below the [section] line it belongs to",
			})
		}
	}
	return sections, problems
}

// syntaxProblem returns a problem with a line, or with the whole file when line is
// 0.
func syntaxProblem(file string, line int, message, fix string) Problem {
	if line > 0 {
		message = fmt.Sprintf("line %d: %s", line, message)
	}
	return Problem{Kind: Syntax, File: file, Message: message, Fix: fix}
}

// checkLines reports every line that is not valid INI and returns the data with
// those lines blanked, because the parser stops at the first one and would hide
// the problems after it. It also removes a byte order mark. Problems don't quote
// the line, which may hold a secret.
func checkLines(file string, data []byte) ([]byte, []Problem) {
	var problems []Problem
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	lines := bytes.Split(data, []byte("\n"))
	for i, raw := range lines {
		message, fix := lineProblem(string(raw))
		if message != "" {
			problems = append(problems, syntaxProblem(file, i+1, message, fix))
			lines[i] = nil
		}
	}
	return bytes.Join(lines, []byte("\n")), problems
}

// lineProblem checks one line. It returns an empty message when the line is valid.
func lineProblem(raw string) (message, fix string) {
	line := strings.TrimSpace(raw)
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return "", ""
	case strings.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' }):
		return "the line holds a control character", "retype the line"
	case line[0] == '[':
		return sectionProblem(line)
	}
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok:
		return "the line is neither a [section], a key = value nor a comment", "write key = value, or start the line with #"
	case key == "" || key == "-" || strings.ContainsAny(key, "\"`'\\ \t"):
		return "the key is empty or holds a quote or a space", "write the key as in the reference, before the ="
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		return "a value may not span lines", "write the value on one line without quotes"
	}
	return "", ""
}

// sectionProblem checks a line that starts with an opening bracket. It returns an
// empty message when the line is valid.
func sectionProblem(line string) (message, fix string) {
	end := strings.IndexByte(line, ']')
	if end < 0 {
		return "the section has no closing bracket", "write [section]"
	}
	rest := strings.TrimSpace(line[end+1:])
	if rest != "" && rest[0] != '#' && rest[0] != ';' || strings.Contains(rest, "]") {
		return "text follows the section's closing bracket", "move it to a line of its own"
	}
	return "", ""
}
