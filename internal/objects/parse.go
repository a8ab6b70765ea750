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
	// Problems found while reading; Check adds those of the set as a whole.
	Problems []Problem
	// files maps a section title to the file that holds it.
	files map[string]string
}

// ParseFolder reads every *.ini file of a folder. The set is complete only when
// there are no problems. It does not check the set as a whole.
func ParseFolder(folder string) (*apiv1.ObjectSet, []Problem) {
	f := ReadFolder(folder)
	return f.Set, f.Problems
}

// ReadFolder is ParseFolder that also keeps the file of each object. Subfolders
// and files with other extensions are ignored.
func ReadFolder(folder string) *Folder {
	f := newFolder()
	entries, err := os.ReadDir(folder)
	if err != nil {
		f.add(Problem{
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
		f.add(Problem{
			Kind: settings.MissingValue, File: folder, Message: "the folder holds no .ini file",
			Fix: "name the folder with the objects, or get the current ones with bergamotctl get",
		})
	}
	return f.finish()
}

// ParseText reads one INI text. File is used in problems only.
func ParseText(file string, data []byte) *Folder {
	f := newFolder()
	f.addSections(settings.Parse(file, data))
	return f.finish()
}

func newFolder() *Folder {
	return &Folder{Set: &apiv1.ObjectSet{}, files: map[string]string{}}
}

func (f *Folder) add(p Problem) { f.Problems = append(f.Problems, p) }

func (f *Folder) addSections(sections []settings.Section, problems []Problem) {
	f.Problems = append(f.Problems, problems...)
	for _, s := range sections {
		f.addSection(s)
	}
}

func (f *Folder) addSection(s settings.Section) {
	kind, name, ok := splitTitle(s.Title)
	fd := kinds().ByName(protoreflect.Name(kind))
	switch {
	case fd == nil:
		f.add(Problem{
			Kind: settings.UnknownSection, File: s.File, Section: s.Title, Message: "the kind of object is not known",
			Fix: "use one of: " + strings.Join(Kinds(), ", "),
		})
		return
	case !ok:
		f.add(Problem{
			Kind: settings.Syntax, File: s.File, Section: s.Title, Message: "the section has no object name in double quotes",
			Fix: fmt.Sprintf("write [%s \"name\"]", kind),
		})
		return
	}
	s.Title = Title(kind, name)
	if other, ok := f.files[s.Title]; ok {
		f.add(Problem{
			Kind: settings.DuplicateName, File: s.File, Section: s.Title,
			Message: fmt.Sprintf("the object is defined more than once; another definition is in %s", other),
			Fix:     "keep one of the sections, or rename one object",
		})
	}
	f.files[s.Title] = s.File
	list := f.Set.ProtoReflect().Mutable(fd).List()
	msg := list.NewElement()
	f.Problems = append(f.Problems, s.Decode(msg.Message().Interface(), nameField)...)
	msg.Message().Set(msg.Message().Descriptor().Fields().ByName(nameField), protoreflect.ValueOfString(name))
	list.Append(msg)
}

// splitTitle reads: kind "name".
func splitTitle(title string) (kind, name string, ok bool) {
	kind, rest, _ := strings.Cut(strings.TrimSpace(title), " ")
	rest = strings.TrimSpace(rest)
	if len(rest) < 3 || rest[0] != '"' || rest[len(rest)-1] != '"' {
		return kind, "", false
	}
	name = rest[1 : len(rest)-1]
	return kind, name, !strings.Contains(name, `"`)
}

// Kinds lists the kinds of objects in the order of the schema.
func Kinds() []string {
	var names []string
	for i := range kinds().Len() {
		names = append(names, string(kinds().Get(i).Name()))
	}
	return names
}

// finish sorts the problems, and the objects by name, so that the set does not
// depend on how objects are spread over files.
func (f *Folder) finish() *Folder {
	f.Problems = settings.Sort(f.Problems)
	SortSet(f.Set)
	return f
}

// SortSet orders the objects of each kind by name. Objects with the same name,
// which Check refuses, are ordered by content so that the result is fixed.
func SortSet(set *apiv1.ObjectSet) {
	m := set.ProtoReflect()
	for i := range kinds().Len() {
		fd := kinds().Get(i)
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
	return bytes.Compare(content(a), content(b))
}

func content(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil { // a name or value is not UTF-8
		return nil
	}
	return data
}

// Check returns the problems of reading and of the set as a whole, with files.
// A finding about a key that could not be read is left out: it would only
// repeat the first problem in other words.
func (f *Folder) Check() []Problem {
	type place struct{ section, key string }
	reported := map[place]bool{}
	for _, p := range f.Problems {
		reported[place{p.Section, p.Key}] = true
	}
	out := slices.Clone(f.Problems)
	for _, p := range Check(f.Set) {
		if reported[place{p.Section, p.Key}] {
			continue
		}
		p.File = f.files[p.Section]
		out = append(out, p)
	}
	return settings.Sort(out)
}
