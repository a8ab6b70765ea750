package settings

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Load reads the only section of an INI file into a message. All problems are
// returned at once; the message is complete only when there are none.
func Load(path, section string, into proto.Message) []Problem {
	sections, problems := ReadFile(path)
	return Sort(append(problems, decodeOnly(path, section, sections, into)...))
}

// LoadBytes is Load over a text.
func LoadBytes(file string, data []byte, section string, into proto.Message) []Problem {
	sections, problems := Parse(file, data)
	return Sort(append(problems, decodeOnly(file, section, sections, into)...))
}

func decodeOnly(file, section string, sections []Section, into proto.Message) []Problem {
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

// Decode sets the message's fields from the section's keys. The field called
// nameField, if any, comes from the section title and is not a key.
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
		d.field(fd, kv, present)
	}
	for _, kv := range s.Keys {
		if !known[kv.Key] {
			d.add(kv.Key, &issue{UnknownKey, "the key is not known in this section", "use one of: " + strings.Join(keys, ", ")})
		}
	}
	return d.problems
}

type decoder struct {
	section   Section
	into      protoreflect.Message
	nameField protoreflect.Name
	problems  []Problem
}

func (d *decoder) add(key string, is *issue) {
	if is == nil {
		return
	}
	d.problems = append(d.problems, Problem{
		Kind: is.kind, File: d.section.File, Section: d.section.Title, Key: key, Message: is.message, Fix: is.fix,
	})
}

func (d *decoder) field(fd protoreflect.FieldDescriptor, kv KeyValue, present bool) {
	key, rule := KeyOf(fd), RuleOf(fd)
	text := kv.Value
	switch {
	case kv.repeated:
		d.add(key, &issue{DuplicateKey, "the key stands more than once in this section", "keep one of them"})
		return
	case present && text == "":
		d.add(key, &issue{MissingValue, "the key has no value", "write a value, or remove the key"})
		return
	case !present && rule.Required:
		d.add(key, &issue{MissingValue, "the key is missing", fmt.Sprintf("add %s = <%s>", key, typeWords(fd))})
		return
	case !present && rule.Default == "":
		return
	case !present:
		text = rule.Default
	}
	d.set(fd, text)
}

func (d *decoder) set(fd protoreflect.FieldDescriptor, text string) {
	if !fd.IsList() {
		v, is := parseValue(fd, text)
		if is == nil {
			is = checkValue(fd, v)
		}
		d.add(KeyOf(fd), is)
		if is == nil {
			d.into.Set(fd, v)
		}
		return
	}
	list := d.into.NewField(fd)
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			d.add(KeyOf(fd), &issue{MissingValue, "the list has an empty part", "write the parts with one comma between them"})
			return
		}
		v, is := parseValue(fd, part)
		if is == nil {
			is = checkValue(fd, v)
		}
		if is != nil {
			d.add(KeyOf(fd), is)
			return
		}
		list.List().Append(v)
	}
	d.into.Set(fd, list)
}

// Validate holds a message that did not come from INI against the rules of its
// fields. Place gives the file and section of the problems.
func Validate(m proto.Message, place Section) []Problem {
	d := decoder{section: place, into: m.ProtoReflect()}
	fields := d.into.Descriptor().Fields()
	for i := range fields.Len() {
		d.validate(fields.Get(i))
	}
	return d.problems
}

func (d *decoder) validate(fd protoreflect.FieldDescriptor) {
	key, v := KeyOf(fd), d.into.Get(fd)
	if fd.IsList() {
		if v.List().Len() == 0 && RuleOf(fd).Required {
			d.add(key, &issue{MissingValue, "the list is empty", "give at least one value"})
		}
		for i := range v.List().Len() {
			part := v.List().Get(i)
			if part.String() == "" {
				d.add(key, &issue{MissingValue, "the list has an empty part", "remove the empty part"})
				continue
			}
			d.add(key, checkValue(fd, part))
		}
		return
	}
	if fd.Kind() == protoreflect.StringKind && v.String() == "" {
		if RuleOf(fd).Required {
			d.add(key, &issue{MissingValue, "the key is missing", fmt.Sprintf("add %s = <%s>", key, typeWords(fd))})
		}
		return
	}
	d.add(key, checkValue(fd, v))
}
