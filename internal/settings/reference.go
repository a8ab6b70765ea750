package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// typeText describes the type of a field's values to operators.
func typeText(fd protoreflect.FieldDescriptor) string {
	text := "whole number"
	_, units := keyAndUnits(fd)
	switch {
	case fd.Kind() == protoreflect.EnumKind:
		text = strings.Join(enumNames(fd.Enum()), " or ")
	case fd.Kind() == protoreflect.BoolKind:
		text = "true or false"
	case RuleOf(fd).Ref != "":
		text = "name of a " + RuleOf(fd).Ref
	case fd.Kind() == protoreflect.StringKind:
		text = "text"
	case units != nil && units[0].suffix == "h":
		text = "duration"
	case units != nil:
		text = "size"
	}
	if fd.IsList() {
		return "list: " + text
	}
	return text
}

// ReferenceSection returns the description of one section in Markdown: a table of
// its keys with type, default, bounds and meaning. The field called nameField is
// left out, as in Decode.
func ReferenceSection(title string, m proto.Message, nameField protoreflect.Name) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### `[%s]`\n\n| key | type | when absent | bounds | meaning |\n|---|---|---|---|---|\n", title)
	fields := m.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if fd.Name() == nameField {
			continue
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", KeyOf(fd), typeText(fd), defaultText(fd), boundsText(fd), docText(fd))
	}
	b.WriteString("\n")
	return b.String()
}

// defaultText describes what applies when the key is missing.
func defaultText(fd protoreflect.FieldDescriptor) string {
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

// boundsText describes the bounds that the field's rule sets, if any.
func boundsText(fd protoreflect.FieldDescriptor) string {
	if RuleOf(fd).Max == 0 {
		return ""
	}
	lowest, highest := numberRange(fd)
	return formatNumber(fd, lowest) + " to " + formatNumber(fd, highest)
}

// docText returns the meaning of a key, with a note for secrets.
func docText(fd protoreflect.FieldDescriptor) string {
	rule := RuleOf(fd)
	if rule.Secret {
		return strings.TrimSpace(rule.Doc + " Secret: never printed.")
	}
	return rule.Doc
}
