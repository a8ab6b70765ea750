package objects

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

func cloneSet(set *apiv1.ObjectSet) *apiv1.ObjectSet {
	if set == nil {
		return &apiv1.ObjectSet{}
	}
	return proto.CloneOf(set)
}

// Diff describes the changes from a to b for operators, one change per line,
// sorted by kind and name. The values of secret fields are left out. If several
// objects have the same kind and name, only the last one is compared.
func Diff(a, b *apiv1.ObjectSet) []string {
	before, after := byTitle(a), byTitle(b)
	var titles []string
	for t := range before {
		titles = append(titles, t)
	}
	for t := range after {
		if _, ok := before[t]; !ok {
			titles = append(titles, t)
		}
	}
	slices.Sort(titles)
	var lines []string
	for _, t := range titles {
		lines = append(lines, diffObject(t, before[t], after[t])...)
	}
	return lines
}

// byTitle returns copies of the set's objects by section title.
func byTitle(set *apiv1.ObjectSet) map[string]proto.Message {
	out := map[string]proto.Message{}
	for _, o := range allObjects(cloneSet(set)) {
		out[o.title()] = o.msg
	}
	return out
}

func diffObject(title string, before, after proto.Message) []string {
	switch {
	case before == nil:
		return []string{"add " + title + describeFields(after)}
	case after == nil:
		return []string{"remove " + title}
	}
	var lines []string
	old, now := before.ProtoReflect(), after.ProtoReflect()
	fields := old.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if old.Get(fd).Equal(now.Get(fd)) {
			continue
		}
		line := fmt.Sprintf("change %s: %s", title, settings.KeyOf(fd))
		if !settings.RuleOf(fd).Secret {
			line += fmt.Sprintf(" from %s to %s", displayText(old, fd), displayText(now, fd))
		}
		lines = append(lines, line)
	}
	return lines
}

// describeFields lists the fields that an object sets, without secret ones, in
// parentheses. It returns "" if there are none.
func describeFields(m proto.Message) string {
	var parts []string
	r := m.ProtoReflect()
	fields := r.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if text, ok := fieldText(r, fd); ok && !settings.RuleOf(fd).Secret {
			parts = append(parts, settings.KeyOf(fd)+" = "+text)
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, "; ") + ")"
}

// displayText returns the value of a field as INI text, and "empty" for an empty
// text or list.
func displayText(m protoreflect.Message, fd protoreflect.FieldDescriptor) string {
	if text, ok := fieldText(m, fd); ok {
		return text
	}
	if fd.Kind() == protoreflect.BoolKind || fd.Kind() == protoreflect.Uint32Kind {
		return settings.FormatValue(fd, m.Get(fd))
	}
	return "empty"
}
