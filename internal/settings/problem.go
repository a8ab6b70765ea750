// Package settings reads INI files into protobuf messages by their descriptors
// and the rule option of their fields.
package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind says what is wrong.
type Kind int

// Kinds of problems. Those from BrokenReference on come from the validation of
// an object set as a whole.
const (
	Unreadable Kind = iota + 1
	Syntax
	UnknownSection
	DuplicateSection
	UnknownKey
	DuplicateKey
	MissingValue
	WrongValue
	OutOfRange
	BrokenReference
	DuplicateName
	Contradiction
	Unused
)

var kindNames = map[Kind]string{
	Unreadable:       "unreadable",
	Syntax:           "syntax",
	UnknownSection:   "unknown section",
	DuplicateSection: "duplicate section",
	UnknownKey:       "unknown key",
	DuplicateKey:     "duplicate key",
	MissingValue:     "missing value",
	WrongValue:       "wrong value",
	OutOfRange:       "out of range",
	BrokenReference:  "broken reference",
	DuplicateName:    "duplicate name",
	Contradiction:    "contradiction",
	Unused:           "unused",
}

// String returns the words shown to operators.
func (k Kind) String() string { return kindNames[k] }

// Problem is one finding in a settings file or an object set. It never holds
// the value of a secret field.
type Problem struct {
	Kind    Kind
	Warning bool // does not stop a start or a publish
	File    string
	Section string // as written between the brackets
	Key     string
	Message string
	Fix     string
}

// String formats the problem on one line: place, message, fix.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ": ")
	}
	if p.Section != "" {
		b.WriteString("[" + p.Section + "] ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	if p.Warning {
		b.WriteString("warning: ")
	}
	fmt.Fprintf(&b, "%s; fix: %s", p.Message, p.Fix)
	return b.String()
}

// Sort orders problems by file, section, key, kind and text and removes
// repetitions.
func Sort(list []Problem) []Problem {
	slices.SortFunc(list, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File), cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Message, b.Message), cmp.Compare(a.Fix, b.Fix),
		)
	})
	return slices.Compact(list)
}

// WithoutWarnings returns the problems that are not warnings.
func WithoutWarnings(list []Problem) []Problem {
	var out []Problem
	for _, p := range list {
		if !p.Warning {
			out = append(out, p)
		}
	}
	return out
}

// JoinErrors joins the problems that are not warnings, one a line; nil when there
// are none.
func JoinErrors(list []Problem) error {
	list = WithoutWarnings(list)
	if len(list) == 0 {
		return nil
	}
	lines := make([]string, 0, len(list))
	for _, p := range list {
		lines = append(lines, p.String())
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}
