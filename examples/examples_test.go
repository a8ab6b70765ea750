package examples_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/settings"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

func TestExamples(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "examples")
}

// folders holds the example object sets.
var folders = []string{"care-homes", "gait-fitting"}

// invalidLine replaces one key = value line. It comes with the kind and the key
// of the problem that must be reported for it.
type invalidLine struct {
	line string
	kind settings.Kind
	key  string
}

// invalidLines returns the invalid lines with which to replace the line of a key.
// One of them removes the line, if the key is required.
func invalidLines(fd protoreflect.FieldDescriptor, key string) []invalidLine {
	rule := settings.RuleOf(fd)
	out := []invalidLine{
		{"x" + key + " = 1", settings.UnknownKey, "x" + key},
		{key + " =", settings.MissingValue, key},
	}
	if rule.Required {
		out = append(out, invalidLine{"# removed", settings.MissingValue, key})
	}
	if rule.Ref != "" {
		out = append(out, invalidLine{key + " = missing", settings.BrokenReference, key})
	}
	if fd.Kind() != protoreflect.StringKind {
		out = append(out, invalidLine{key + " = 1 parsec", settings.WrongValue, key})
	}
	if strings.HasSuffix(string(fd.Name()), "_ms") {
		out = append(out, invalidLine{key + " = 1000", settings.WrongValue, key})
	}
	if rule.Max != 0 {
		out = append(out, invalidLine{key + " = " + settings.FormatValue(fd, protoreflect.ValueOfUint64(uint64(rule.Max)+1)), settings.OutOfRange, key})
	}
	return out
}

// findField returns the field that a key sets, nil when there is none.
func findField(md protoreflect.MessageDescriptor, key string) protoreflect.FieldDescriptor {
	for i := range md.Fields().Len() {
		if fd := md.Fields().Get(i); settings.KeyOf(fd) == key {
			return fd
		}
	}
	return nil
}

// forEachInvalidLine calls check for every invalid line in the place of every key
// = value line of an INI text, with the whole text and the section of the line.
// It returns the number of calls.
func forEachInvalidLine(text string, message func(section string) protoreflect.MessageDescriptor, check func(invalid, section string, inv invalidLine)) int {
	lines := strings.Split(text, "\n")
	section, calls := "", 0
	for i, line := range lines {
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
		}
		key, _, ok := strings.Cut(line, " = ")
		if !ok || line[0] == '#' {
			continue
		}
		for _, inv := range invalidLines(findField(message(section), key), key) {
			invalid := slices.Clone(lines)
			invalid[i] = inv.line
			check(strings.Join(invalid, "\n"), section, inv)
			calls++
		}
	}
	return calls
}

// expectReported expects the problem of an invalid line among the problems, with
// file, section, key, message and fix.
func expectReported(problems []settings.Problem, file, section string, inv invalidLine) {
	found := slices.ContainsFunc(problems, func(p settings.Problem) bool {
		return p.File == file && p.Section == section && p.Key == inv.key && p.Kind == inv.kind && p.Fix != "" && p.Message != ""
	})
	ExpectWithOffset(2, found).To(BeTrue(), "%s [%s] %q must be reported as %s, got:\n%v", file, section, inv.line, inv.kind, problems)
}

var _ = Describe("object folders", func() {
	for _, folder := range folders {
		It(folder+" has no problem, not even a warning", func() {
			Expect(objects.ReadFolder(folder).Check()).To(BeEmpty())
		})

		It(folder+" has the object counts of its deployment", func() {
			set, _ := objects.ParseFolder(folder)
			Expect([]int{
				len(set.AvailabilityZone), len(set.Service), len(set.Pool), len(set.ClientAccount), len(set.Key),
			}).To(Equal([]int{3, 5, 5, 6, 6}))
			priorities := map[apiv1.Priority]bool{}
			for _, q := range set.Queue {
				priorities[q.Priority] = true
			}
			Expect(priorities).To(HaveLen(3))
		})

		It(folder+" is the same set after writing and reading", func() {
			set, _ := objects.ParseFolder(folder)
			copied := filepath.Join(GinkgoT().TempDir(), "copy")
			Expect(objects.WriteFolder(copied, set)).To(Succeed())
			reread, problems := objects.ParseFolder(copied)
			Expect(problems).To(BeEmpty())
			Expect(proto.Equal(set, reread)).To(BeTrue())
		})

		// Guards against a mistake that is accepted, or is reported without the
		// place and the fix, on which an operator without other help depends.
		It(folder+" reports file, section, key and fix of a mistake in any line", func() {
			copied := GinkgoT().TempDir()
			Expect(os.CopyFS(copied, os.DirFS(folder))).To(Succeed())
			paths, _ := filepath.Glob(filepath.Join(copied, "*.ini"))
			tried := 0
			for _, path := range paths {
				data, err := os.ReadFile(path)
				Expect(err).NotTo(HaveOccurred())
				tried += forEachInvalidLine(string(data), objectMessage, func(invalid, section string, inv invalidLine) {
					Expect(os.WriteFile(path, []byte(invalid), 0o600)).To(Succeed())
					expectReported(objects.ReadFolder(copied).Check(), path, section, inv)
				})
				Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
			}
			Expect(tried).To(BeNumerically(">", 300))
		})
	}
})

// objectMessage returns the message of the object in a section such as
// pool "wards".
func objectMessage(section string) protoreflect.MessageDescriptor {
	kind, _, _ := strings.Cut(section, " ")
	return (&apiv1.ObjectSet{}).ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(kind)).Message()
}

var _ = Describe("settings files", func() {
	for section, message := range map[string]proto.Message{
		"entry": &apiv1.EntrySettings{}, "control": &apiv1.ControlSettings{}, "client": &apiv1.ClientSettings{},
	} {
		file := fmt.Sprintf("settings/%s.ini", section)
		It(file+" sets every key and has no problem", func() {
			Expect(settings.Load(file, section, message)).To(BeEmpty())
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			fields := message.ProtoReflect().Descriptor().Fields()
			for i := range fields.Len() {
				Expect(string(data)).To(ContainSubstring("\n" + settings.KeyOf(fields.Get(i)) + " = "))
			}
		})

		It(file+" reports file, section, key and fix of a mistake in any line", func() {
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			md := message.ProtoReflect().Descriptor()
			forEachInvalidLine(string(data), func(string) protoreflect.MessageDescriptor { return md }, func(invalid, _ string, inv invalidLine) {
				expectReported(settings.LoadBytes(file, []byte(invalid), section, proto.Clone(message)), file, section, inv)
			})
		})
	}
})
