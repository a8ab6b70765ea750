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

// Diff says in words what changes from a to b, one change a line, by kind and
// name. Values of secret fields are not shown. Where a name stands twice, the
// last object counts.
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

func byTitle(set *apiv1.ObjectSet) map[string]proto.Message {
	out := map[string]proto.Message{}
	for _, o := range each(cloneSet(set)) {
		out[o.title()] = o.msg
	}
	return out
}

func diffObject(title string, before, after proto.Message) []string {
	switch {
	case before == nil:
		return []string{"add " + title + describe(after)}
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
			line += fmt.Sprintf(" from %s to %s", shown(old, fd), shown(now, fd))
		}
		lines = append(lines, line)
	}
	return lines
}

func describe(m proto.Message) string {
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

func shown(m protoreflect.Message, fd protoreflect.FieldDescriptor) string {
	if text, ok := fieldText(m, fd); ok {
		return text
	}
	if fd.Kind() == protoreflect.BoolKind || fd.Kind() == protoreflect.Uint32Kind {
		return settings.FormatValue(fd, m.Get(fd))
	}
	return "empty"
}
