// Package settings reads INI files into protobuf messages. The descriptors of the
// messages give the keys, and the rule option of their fields gives defaults and
// bounds.
package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind classifies problems.
type Kind int

// Kinds of problems. Those from BrokenReference on are found only in a set of
// objects (the pools, teams, queues and the like of a configuration) as a whole.
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

// String returns the name of the kind as operators see it.
func (k Kind) String() string { return kindNames[k] }

// Problem is an error or a warning about a settings file or a set of objects. Its
// texts never contain the value of a secret field.
type Problem struct {
	Kind    Kind
	Warning bool // a warning prevents neither the start of a process nor a publish
	File    string
	Section string // as written between the brackets
	Key     string
	Message string
	Fix     string
}

// String formats the problem as one line: location, message and fix.
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

// Sort sorts problems by file, section, key, kind and text, in place, and returns
// them without duplicates.
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

// JoinErrors returns an error with one line for each problem that is not a warning,
// or nil when there is none.
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
