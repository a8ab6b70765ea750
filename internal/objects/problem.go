package objects

import (
	"strconv"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// Problem is one finding in an object set.
type Problem = settings.Problem

// nameField holds an object's name, which INI takes from the section title.
const nameField = "name"

// Title returns the section title of an object, for example: pool "wards".
func Title(kind, name string) string { return kind + " " + strconv.Quote(name) }

// ref identifies objects; a title is built only where it is shown.
type ref struct{ kind, name string }

func (r ref) title() string { return Title(r.kind, r.name) }

// object is one object of a set.
type object struct {
	ref
	msg proto.Message
}

// place gives problems of the object their section.
func (o object) place() settings.Section { return settings.Section{Title: o.title()} }

// kinds are the object fields of ObjectSet in the order of the schema.
func kinds() protoreflect.FieldDescriptors {
	return (&apiv1.ObjectSet{}).ProtoReflect().Descriptor().Fields()
}

// each lists all objects of a set by kind, then in the order of the set.
func each(set *apiv1.ObjectSet) []object {
	var out []object
	m := set.ProtoReflect()
	for i := range kinds().Len() {
		fd := kinds().Get(i)
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
