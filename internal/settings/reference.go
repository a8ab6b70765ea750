package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// typeWords names a field's type for operators.
func typeWords(fd protoreflect.FieldDescriptor) string {
	word := "whole number"
	_, units := keyAndUnits(fd)
	switch {
	case fd.Kind() == protoreflect.EnumKind:
		word = strings.Join(enumWords(fd.Enum()), " or ")
	case fd.Kind() == protoreflect.BoolKind:
		word = "true or false"
	case RuleOf(fd).Ref != "":
		word = "name of a " + RuleOf(fd).Ref
	case fd.Kind() == protoreflect.StringKind:
		word = "text"
	case units != nil && units[0].suffix == "h":
		word = "duration"
	case units != nil:
		word = "size"
	}
	if fd.IsList() {
		return "list: " + word
	}
	return word
}

// ReferenceSection describes one section in Markdown: every key with type,
// default, bounds and meaning. NameField is as in Decode.
func ReferenceSection(title string, m proto.Message, nameField protoreflect.Name) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### `[%s]`\n\n| key | type | when absent | bounds | meaning |\n|---|---|---|---|---|\n", title)
	fields := m.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if fd.Name() == nameField {
			continue
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", KeyOf(fd), typeWords(fd), absentWords(fd), boundWords(fd), docWords(fd))
	}
	b.WriteString("\n")
	return b.String()
}

func absentWords(fd protoreflect.FieldDescriptor) string {
	rule := RuleOf(fd)
	switch {
	case rule.Required:
		return "refused"
	case rule.Default != "":
		return "`" + rule.Default + "`"
	case fd.Kind() == protoreflect.BoolKind:
		return "`false`"
	case fd.Kind() == protoreflect.StringKind:
		return "empty"
	}
	return "`0`"
}

func boundWords(fd protoreflect.FieldDescriptor) string {
	if RuleOf(fd).Max == 0 {
		return ""
	}
	lowest, highest := bounds(fd)
	return formatNumber(fd, lowest) + " to " + formatNumber(fd, highest)
}

func docWords(fd protoreflect.FieldDescriptor) string {
	rule := RuleOf(fd)
	if rule.Secret {
		return strings.TrimSpace(rule.Doc + " Secret: never printed.")
	}
	return rule.Doc
}
