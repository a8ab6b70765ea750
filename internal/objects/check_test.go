package objects

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// drawSet draws a set with few names and small numbers, so that references
// match, names collide and numbers are within and outside of their bounds. If
// unique is true, no two objects of a kind have the same name.
func drawSet(t *rapid.T, unique bool) *apiv1.ObjectSet {
	set := &apiv1.ObjectSet{}
	m := set.ProtoReflect()
	names := []string{"a", "b", "c", "d"}
	for i := range kindFields().Len() {
		fd := kindFields().Get(i)
		for j := range rapid.IntRange(0, 3).Draw(t, string(fd.Name())) {
			list := m.Mutable(fd).List()
			e := list.NewElement()
			drawFields(t, e.Message())
			name := names[j]
			if !unique {
				name = rapid.SampledFrom([]string{"a", "a", "b", "b", "c", "d", "-x", ""}).Draw(t, "name")
			}
			e.Message().Set(e.Message().Descriptor().Fields().ByName(nameField), protoreflect.ValueOfString(name))
			list.Append(e)
		}
	}
	return set
}

func drawFields(t *rapid.T, m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !fd.IsList() {
			m.Set(fd, drawScalar(t, fd))
			continue
		}
		for range rapid.IntRange(0, 2).Draw(t, "length") {
			m.Mutable(fd).List().Append(drawScalar(t, fd))
		}
	}
}

func drawScalar(t *rapid.T, fd protoreflect.FieldDescriptor) protoreflect.Value {
	label := string(fd.Name())
	switch fd.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(rapid.Bool().Draw(t, label))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(rapid.IntRange(0, 3).Draw(t, label)))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(rapid.SampledFrom([]uint32{0, 1, 2, 3, 8, 50, 64, 100, 101, 1000, 4000000}).Draw(t, label))
	}
	texts := []string{"", "a", "b", "c"}
	if label == "salt" {
		texts = []string{"", "zz", strings.Repeat("0a", 16), strings.Repeat("0A", 16)}
	}
	if label == "hash" {
		texts = []string{"", "zz", strings.Repeat("0f", 32), strings.Repeat("0f", 31)}
	}
	return protoreflect.ValueOfString(rapid.SampledFrom(texts).Draw(t, label))
}

// summarize returns the problems without their texts, sorted and without
// duplicates, in the format of referenceCheck.
func summarize(problems []Problem) []string {
	out := []string{}
	for _, p := range problems {
		out = append(out, fmt.Sprintf("%s|%s|%s|%v", p.Section, p.Key, p.Kind, p.Warning))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Guards against a rule that Check omits or applies to the wrong object. The
// reference implementation states every rule by hand, without the index and the
// schema's descriptors.
func TestCheckAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t, true)
		if got, want := summarize(Check(set)), referenceCheck(set); !slices.Equal(got, want) {
			t.Fatalf("Check:\n%s\nreference:\n%s\nset: %v", strings.Join(got, "\n"), strings.Join(want, "\n"), set)
		}
	})
}

// Guards against problems that depend on the order of objects or of a map: two
// replicas would return different errors for the same publish.
func TestCheckIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t, false)
		want := Check(set)
		m := set.ProtoReflect()
		for i := range kindFields().Len() {
			if list := m.Get(kindFields().Get(i)).List(); list.Len() > 1 {
				first, last := list.Get(0), list.Get(list.Len()-1)
				list.Set(0, last)
				list.Set(list.Len()-1, first)
			}
		}
		if got := Check(set); !slices.Equal(got, want) {
			t.Fatalf("problems changed with the order:\n%v\n%v", got, want)
		}
	})
}

// withoutInvalidFields returns the objects that satisfy the rules of their
// fields, as those of a published set do. Their references may be broken.
func withoutInvalidFields(set *apiv1.ObjectSet) *apiv1.ObjectSet {
	out := &apiv1.ObjectSet{}
	for _, o := range allObjects(set) {
		if len(settings.Validate(o.msg, o.section())) == 0 {
			list := out.ProtoReflect().Mutable(kindFields().ByName(protoreflect.Name(o.kind))).List()
			list.Append(protoreflect.ValueOfMessage(o.msg.ProtoReflect()))
		}
	}
	return out
}

func formatText(set *apiv1.ObjectSet) []byte {
	var text []byte
	files := Format(set)
	for _, kind := range Kinds() {
		text = append(text, files[kind+".ini"]...)
	}
	return text
}

// Guards against a value that is written in a notation that is read as another
// value.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := withoutInvalidFields(drawSet(t, true))
		back := ParseText("set.ini", formatText(set))
		if len(back.Problems) > 0 || !proto.Equal(set, back.Set) {
			t.Fatalf("read back %v with %v\nfrom %v\n%s", back.Set, back.Problems, set, formatText(set))
		}
	})
}

// Guards against a change that Diff omits, and against a key's hash in the
// output of Diff and Redacted.
func TestDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawSet(t, true), drawSet(t, true)
		lines := Diff(a, b)
		if (len(lines) == 0) != proto.Equal(a, b) {
			t.Fatalf("diff %q of %v and %v", lines, a, b)
		}
		if text := strings.Join(lines, "\n"); strings.Contains(text, "0f0f") || strings.Contains(text, "hash =") {
			t.Fatalf("diff shows a hash: %s", text)
		}
		if redacted := fmt.Sprint(Redacted(a)); strings.Contains(redacted, "0f0f") {
			t.Fatalf("redacted set shows a hash: %s", redacted)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[pool \"a\"]\navailability_budget = b\nmin_vms = 3\n"))
	f.Add([]byte("[queue \"q\"]\nteams = a,, b\nopen = yes\n[queue \"q\"]\n"))
	f.Add([]byte("[pool]\n[pool \"\"]\n[pool \"a\"b\"]\n[pol \"x\"]\nname = z\n"))
	f.Add([]byte("[service \"s\"]\nmax_deadline = 30\n[maintenance \"m\"]\naction = move\nvms = a;b\n"))
	// Guards against a text that makes the parser panic, and against a valid set
	// that differs after it is written and read.
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := ParseText("f.ini", data)
		if len(settings.WithoutWarnings(folder.Check())) > 0 {
			return
		}
		if back := ParseText("f.ini", formatText(folder.Set)); len(back.Problems) > 0 || !proto.Equal(back.Set, folder.Set) {
			t.Fatalf("accepted %v, written and read back %v with %v", folder.Set, back.Set, back.Problems)
		}
	})
}
