package objects

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// objectFileMode prevents other users of the operator's machine from reading
// the key hashes.
const objectFileMode = 0o600

// Format returns the contents of the INI files of a set by file name, with one
// file per kind. They contain the hashes of keys and should not be printed.
func Format(set *apiv1.ObjectSet) map[string][]byte {
	files := map[string][]byte{}
	for _, o := range allObjects(set) {
		name := o.kind + ".ini"
		if len(files[name]) > 0 {
			files[name] = append(files[name], '\n')
		}
		files[name] = append(files[name], formatObject(o)...)
	}
	return files
}

func formatObject(o object) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\n", o.title())
	m := o.msg.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if text, ok := fieldText(m, fd); ok {
			fmt.Fprintf(&b, "%s = %s\n", settings.KeyOf(fd), text)
		}
	}
	return b.String()
}

// fieldText returns the INI value of a field. It returns false if the file omits
// the field: the name, which is in the section title, and a value that is also
// read when the key is missing.
func fieldText(m protoreflect.Message, fd protoreflect.FieldDescriptor) (string, bool) {
	if fd.Name() == nameField {
		return "", false
	}
	if fd.IsList() {
		var parts []string
		list := m.Get(fd).List()
		for i := range list.Len() {
			parts = append(parts, settings.FormatValue(fd, list.Get(i)))
		}
		return strings.Join(parts, ", "), len(parts) > 0
	}
	if m.Has(fd) {
		return settings.FormatValue(fd, m.Get(fd)), true
	}
	numeric := fd.Kind() == protoreflect.Uint32Kind || fd.Kind() == protoreflect.Uint64Kind
	if numeric && settings.RuleOf(fd).Default != "" {
		return settings.FormatValue(fd, m.Get(fd)), true
	}
	return "", false
}

// WriteFolder writes a set into a folder, which it creates if necessary. It
// removes the .ini files of kinds without objects.
func WriteFolder(folder string, set *apiv1.ObjectSet) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("create the folder: %w", err)
	}
	files := Format(set)
	for _, kind := range Kinds() {
		path := filepath.Join(folder, kind+".ini")
		data, ok := files[kind+".ini"]
		if !ok {
			if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
				return fmt.Errorf("remove the file of a kind without objects: %w", err)
			}
			continue
		}
		if err := os.WriteFile(path, data, objectFileMode); err != nil {
			return fmt.Errorf("write the objects: %w", err)
		}
	}
	return nil
}

// Redacted returns a copy of the set with secret fields cleared, for printing.
func Redacted(set *apiv1.ObjectSet) *apiv1.ObjectSet {
	out := cloneSet(set)
	for _, o := range allObjects(out) {
		m := o.msg.ProtoReflect()
		fields := m.Descriptor().Fields()
		for i := range fields.Len() {
			if settings.RuleOf(fields.Get(i)).Secret {
				m.Clear(fields.Get(i))
			}
		}
	}
	return out
}
