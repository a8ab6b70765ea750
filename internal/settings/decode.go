package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Load reads an INI file, which must consist of one section with the given title,
// into a message, and sets the defaults of missing keys. It returns all problems,
// sorted. The message must be used only when there are none.
func Load(path, section string, into proto.Message) []Problem {
	sections, problems := ReadFile(path)
	return Sort(append(problems, decodeSingle(path, section, sections, into)...))
}

// LoadBytes is Load for the contents of a file. The file's name appears only in
// problems.
func LoadBytes(file string, data []byte, section string, into proto.Message) []Problem {
	sections, problems := Parse(file, data)
	return Sort(append(problems, decodeSingle(file, section, sections, into)...))
}

// decodeSingle decodes the section with the given title, and reports when it is
// missing, appears more than once or isn't the only one.
func decodeSingle(file, section string, sections []Section, into proto.Message) []Problem {
	var problems []Problem
	found := 0
	for _, s := range sections {
		if s.Title != section {
			problems = append(problems, Problem{
				Kind: UnknownSection, File: file, Section: s.Title, Message: "the section is not known in this file",
				Fix: fmt.Sprintf("use [%s] only", section),
			})
			continue
		}
		found++
		if found == 1 {
			problems = append(problems, s.Decode(into, "")...)
		}
	}
	if found > 1 {
		problems = append(problems, Problem{
			Kind: DuplicateSection, File: file, Section: section, Message: "the section stands more than once",
			Fix: "merge the sections into one",
		})
	}
	if found == 0 {
		problems = append(problems, Problem{
			Kind: MissingValue, File: file, Section: section, Message: "the section is missing",
			Fix: fmt.Sprintf("add a [%s] section", section),
		})
	}
	return problems
}

// Decode sets the fields of a message from the section's keys, with defaults for
// missing keys. It skips the field called nameField, if any: the caller sets that
// one from the section's title. It returns all problems, unsorted.
func (s Section) Decode(into proto.Message, nameField protoreflect.Name) []Problem {
	d := decoder{section: s, into: into.ProtoReflect(), nameField: nameField}
	values := map[string]KeyValue{}
	for _, kv := range s.Keys {
		values[kv.Key] = kv
	}
	fields := d.into.Descriptor().Fields()
	known := map[string]bool{}
	var keys []string
	for i := range fields.Len() {
		fd := fields.Get(i)
		if fd.Name() == nameField {
			continue
		}
		kv, present := values[KeyOf(fd)]
		known[KeyOf(fd)] = true
		keys = append(keys, KeyOf(fd))
		d.decodeField(fd, kv, present)
	}
	for _, kv := range s.Keys {
		if !known[kv.Key] {
			d.report(kv.Key, &issue{UnknownKey, "the key is not known in this section", "use one of: " + strings.Join(keys, ", ")})
		}
	}
	return d.problems
}

// decoder sets or checks the fields of a message and collects the problems.
type decoder struct {
	section   Section
	into      protoreflect.Message
	nameField protoreflect.Name
	problems  []Problem
}

// report adds a problem with a key; a nil issue means that there is none.
func (d *decoder) report(key string, is *issue) {
	if is == nil {
		return
	}
	d.problems = append(d.problems, Problem{
		Kind: is.kind, File: d.section.File, Section: d.section.Title, Key: key, Message: is.message, Fix: is.fix,
	})
}

// decodeField sets a field from its key, or from its default when present is
// false.
func (d *decoder) decodeField(fd protoreflect.FieldDescriptor, kv KeyValue, present bool) {
	key, rule := KeyOf(fd), RuleOf(fd)
	text := kv.Value
	switch {
	case kv.isRepeated:
		d.report(key, &issue{DuplicateKey, "the key stands more than once in this section", "keep one of them"})
		return
	case present && text == "":
		d.report(key, &issue{MissingValue, "the key has no value", "write a value, or remove the key"})
		return
	case !present && rule.Required:
		d.report(key, &issue{MissingValue, "the key is missing", fmt.Sprintf("add %s = <%s>", key, typeText(fd))})
		return
	case !present && rule.Default == "":
		return
	case !present:
		text = rule.Default
	}
	d.setField(fd, text)
}

// setField parses, checks and sets a value; the parts of a list are separated by
// commas.
func (d *decoder) setField(fd protoreflect.FieldDescriptor, text string) {
	if !fd.IsList() {
		v, is := parseValue(fd, text)
		if is == nil {
			is = checkValue(fd, v)
		}
		d.report(KeyOf(fd), is)
		if is == nil {
			d.into.Set(fd, v)
		}
		return
	}
	list := d.into.NewField(fd)
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			d.report(KeyOf(fd), &issue{MissingValue, "the list has an empty part", "write the parts with one comma between them"})
			return
		}
		v, is := parseValue(fd, part)
		if is == nil {
			is = checkValue(fd, v)
		}
		if is != nil {
			d.report(KeyOf(fd), is)
			return
		}
		list.List().Append(v)
	}
	d.into.Set(fd, list)
}

// Validate checks a message that was not read from INI against the rules of its
// fields. Location gives the file and section that the problems name.
func Validate(m proto.Message, location Section) []Problem {
	d := decoder{section: location, into: m.ProtoReflect()}
	fields := d.into.Descriptor().Fields()
	for i := range fields.Len() {
		d.validateField(fields.Get(i))
	}
	return d.problems
}

// validateField checks the value of a field that is already set. An empty string
// is taken as absent.
func (d *decoder) validateField(fd protoreflect.FieldDescriptor) {
	key, v := KeyOf(fd), d.into.Get(fd)
	if fd.IsList() {
		if v.List().Len() == 0 && RuleOf(fd).Required {
			d.report(key, &issue{MissingValue, "the list is empty", "give at least one value"})
		}
		for i := range v.List().Len() {
			part := v.List().Get(i)
			if part.String() == "" {
				d.report(key, &issue{MissingValue, "the list has an empty part", "remove the empty part"})
				continue
			}
			d.report(key, checkValue(fd, part))
		}
		return
	}
	if fd.Kind() == protoreflect.StringKind && v.String() == "" {
		if RuleOf(fd).Required {
			d.report(key, &issue{MissingValue, "the key is missing", fmt.Sprintf("add %s = <%s>", key, typeText(fd))})
		}
		return
	}
	d.report(key, checkValue(fd, v))
}
