package objects

import (
	"strconv"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// Problem is one error or warning about an object set.
type Problem = settings.Problem

// nameField is the field with an object's name. In INI the name is a part of
// the section title and not a key.
const nameField = "name"

// Title returns the title of an object's INI section, for example: pool "wards".
func Title(kind, name string) string { return kind + " " + strconv.Quote(name) }

// ref identifies an object by kind and name. It is cheaper to compare than a
// title, which is built only for messages.
type ref struct{ kind, name string }

func (r ref) title() string { return Title(r.kind, r.name) }

// object is one object of a set, of any kind.
type object struct {
	ref
	msg proto.Message
}

// section returns a section with the object's title, for the problems that
// settings.Validate reports.
func (o object) section() settings.Section { return settings.Section{Title: o.title()} }

// kindFields returns the fields of ObjectSet in schema order. Each of them is
// the list of objects of one kind and has the kind's name.
func kindFields() protoreflect.FieldDescriptors {
	return (&apiv1.ObjectSet{}).ProtoReflect().Descriptor().Fields()
}

// allObjects returns the objects of a set by kind in schema order, and within a
// kind in the order of the set.
func allObjects(set *apiv1.ObjectSet) []object {
	var out []object
	m := set.ProtoReflect()
	for i := range kindFields().Len() {
		fd := kindFields().Get(i)
		list := m.Get(fd).List()
		for j := range list.Len() {
			msg := list.Get(j).Message().Interface()
			out = append(out, object{ref{string(fd.Name()), nameOf(msg)}, msg})
		}
	}
	return out
}

func nameOf(m proto.Message) string {
	if n, ok := m.(named); ok {
		return n.GetName()
	}
	return ""
}

// ConfigProblems converts problems to messages of the operators' API.
func ConfigProblems(list []Problem) []*apiv1.ConfigProblem {
	var out []*apiv1.ConfigProblem
	for _, p := range list {
		out = append(out, &apiv1.ConfigProblem{
			Kind: p.Kind.String(), Warning: p.Warning, File: p.File, Section: p.Section,
			Key: p.Key, Message: p.Message, Fix: p.Fix,
		})
	}
	return out
}
