package objects

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// Folder is an object set read from INI files.
type Folder struct {
	Set *apiv1.ObjectSet
	// Problems are those found while reading. Check adds those of the whole set.
	Problems []Problem
	// fileOf maps a section title to the file that contains the section.
	fileOf map[string]string
}

// ParseFolder reads every *.ini file of a folder. The set is complete only if
// there are no problems. It is not validated as a whole; see Check.
func ParseFolder(folder string) (*apiv1.ObjectSet, []Problem) {
	f := ReadFolder(folder)
	return f.Set, f.Problems
}

// ReadFolder is like ParseFolder, but also records which file each object comes
// from. Subfolders and files with other extensions are ignored.
func ReadFolder(folder string) *Folder {
	f := newFolder()
	entries, err := os.ReadDir(folder)
	if err != nil {
		f.addProblem(Problem{
			Kind: settings.Unreadable, File: folder, Message: fmt.Sprintf("the folder cannot be read: %v", err),
			Fix: "check that the folder exists and that this user may read it",
		})
		return f
	}
	found := false
	for _, e := range entries {
		if !e.IsDir() && filepath.Ext(e.Name()) == ".ini" {
			found = true
			f.addSections(settings.ReadFile(filepath.Join(folder, e.Name())))
		}
	}
	if !found {
		f.addProblem(Problem{
			Kind: settings.MissingValue, File: folder, Message: "the folder holds no .ini file",
			Fix: "name the folder with the objects, or get the current ones with bergamotctl get",
		})
	}
	return f.sortAll()
}

// ParseText reads one INI text. The file name is used only in problems.
func ParseText(file string, data []byte) *Folder {
	f := newFolder()
	f.addSections(settings.Parse(file, data))
	return f.sortAll()
}

func newFolder() *Folder {
	return &Folder{Set: &apiv1.ObjectSet{}, fileOf: map[string]string{}}
}

func (f *Folder) addProblem(p Problem) { f.Problems = append(f.Problems, p) }

func (f *Folder) addSections(sections []settings.Section, problems []Problem) {
	f.Problems = append(f.Problems, problems...)
	for _, s := range sections {
		f.addSection(s)
	}
}

// addSection adds the object of one section to the set.
func (f *Folder) addSection(s settings.Section) {
	kind, name, ok := splitTitle(s.Title)
	fd := kindFields().ByName(protoreflect.Name(kind))
	switch {
	case fd == nil:
		f.addProblem(Problem{
			Kind: settings.UnknownSection, File: s.File, Section: s.Title, Message: "the kind of object is not known",
			Fix: "use one of: " + strings.Join(Kinds(), ", "),
		})
		return
	case !ok:
		f.addProblem(Problem{
			Kind: settings.Syntax, File: s.File, Section: s.Title, Message: "the section has no object name in double quotes",
			Fix: fmt.Sprintf("write [%s \"name\"]", kind),
		})
		return
	}
	s.Title = Title(kind, name)
	if other, ok := f.fileOf[s.Title]; ok {
		f.addProblem(Problem{
			Kind: settings.DuplicateName, File: s.File, Section: s.Title,
			Message: fmt.Sprintf("the object is defined more than once; another definition is in %s", other),
			Fix:     "keep one of the sections, or rename one object",
		})
	}
	f.fileOf[s.Title] = s.File
	list := f.Set.ProtoReflect().Mutable(fd).List()
	msg := list.NewElement()
	f.Problems = append(f.Problems, s.Decode(msg.Message().Interface(), nameField)...)
	msg.Message().Set(msg.Message().Descriptor().Fields().ByName(nameField), protoreflect.ValueOfString(name))
	list.Append(msg)
}

// splitTitle splits a section title of the form kind "name". ok is false if the
// title has no quoted name, or quotes within the name.
func splitTitle(title string) (kind, name string, ok bool) {
	kind, rest, _ := strings.Cut(strings.TrimSpace(title), " ")
	rest = strings.TrimSpace(rest)
	if len(rest) < 3 || rest[0] != '"' || rest[len(rest)-1] != '"' {
		return kind, "", false
	}
	name = rest[1 : len(rest)-1]
	return kind, name, !strings.Contains(name, `"`)
}

// Kinds returns the kinds of objects in schema order.
func Kinds() []string {
	var names []string
	for i := range kindFields().Len() {
		names = append(names, string(kindFields().Get(i).Name()))
	}
	return names
}

// sortAll sorts the problems, and the objects by name, so that the result does
// not depend on how the objects are distributed over files.
func (f *Folder) sortAll() *Folder {
	f.Problems = settings.Sort(f.Problems)
	SortSet(f.Set)
	return f
}

// SortSet sorts the objects of each kind by name, in place. Objects with the
// same name, which Check reports, are sorted by content, so that the result does
// not depend on the original order.
func SortSet(set *apiv1.ObjectSet) {
	m := set.ProtoReflect()
	for i := range kindFields().Len() {
		fd := kindFields().Get(i)
		if !m.Has(fd) {
			continue
		}
		list := m.Mutable(fd).List()
		elements := make([]protoreflect.Value, list.Len())
		for j := range elements {
			elements[j] = list.Get(j)
		}
		slices.SortStableFunc(elements, func(a, b protoreflect.Value) int {
			return compareObjects(a.Message().Interface(), b.Message().Interface())
		})
		for j, e := range elements {
			list.Set(j, e)
		}
	}
}

func compareObjects(a, b proto.Message) int {
	if c := strings.Compare(nameOf(a), nameOf(b)); c != 0 {
		return c
	}
	return bytes.Compare(deterministicBytes(a), deterministicBytes(b))
}

// deterministicBytes encodes a message with a fixed order of fields. It returns
// nil if the message cannot be encoded.
func deterministicBytes(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil { // a name or value is not UTF-8
		return nil
	}
	return data
}

// Check returns the problems found while reading and those of the set as a
// whole, with their files. For a section and key that already have a problem
// from reading, those of the set are left out, since they have the same cause.
func (f *Folder) Check() []Problem {
	type location struct{ section, key string }
	reported := map[location]bool{}
	for _, p := range f.Problems {
		reported[location{p.Section, p.Key}] = true
	}
	out := slices.Clone(f.Problems)
	for _, p := range Check(f.Set) {
		if reported[location{p.Section, p.Key}] {
			continue
		}
		p.File = f.fileOf[p.Section]
		out = append(out, p)
	}
	return settings.Sort(out)
}
