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

var folders = []string{"care-homes", "gait-fitting"}

// breakage is one change of one line and the problem that must name it.
type breakage struct {
	line string
	kind settings.Kind
	key  string
}

// breakages are the ways to break one key = value line.
func breakages(fd protoreflect.FieldDescriptor, key string) []breakage {
	rule := settings.RuleOf(fd)
	out := []breakage{
		{"x" + key + " = 1", settings.UnknownKey, "x" + key},
		{key + " =", settings.MissingValue, key},
	}
	if rule.Required {
		out = append(out, breakage{"# removed", settings.MissingValue, key})
	}
	if rule.Ref != "" {
		out = append(out, breakage{key + " = missing", settings.BrokenReference, key})
	}
	if fd.Kind() != protoreflect.StringKind {
		out = append(out, breakage{key + " = 1 parsec", settings.WrongValue, key})
	}
	if strings.HasSuffix(string(fd.Name()), "_ms") {
		out = append(out, breakage{key + " = 1000", settings.WrongValue, key})
	}
	if rule.Max != 0 {
		out = append(out, breakage{key + " = " + settings.FormatValue(fd, protoreflect.ValueOfUint64(uint64(rule.Max)+1)), settings.OutOfRange, key})
	}
	return out
}

// findField returns the field of a key in a section such as pool "wards".
func findField(md protoreflect.MessageDescriptor, key string) protoreflect.FieldDescriptor {
	for i := range md.Fields().Len() {
		if fd := md.Fields().Get(i); settings.KeyOf(fd) == key {
			return fd
		}
	}
	return nil
}

// breakLines calls check for every breakage of every line of an INI text.
func breakLines(text string, message func(section string) protoreflect.MessageDescriptor, check func(broken, section string, b breakage)) int {
	lines := strings.Split(text, "\n")
	section, tried := "", 0
	for i, line := range lines {
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
		}
		key, _, ok := strings.Cut(line, " = ")
		if !ok || line[0] == '#' {
			continue
		}
		for _, b := range breakages(findField(message(section), key), key) {
			broken := slices.Clone(lines)
			broken[i] = b.line
			check(strings.Join(broken, "\n"), section, b)
			tried++
		}
	}
	return tried
}

// expectNamed wants exactly this problem, with file, section, key and a fix.
func expectNamed(problems []settings.Problem, file, section string, b breakage) {
	found := slices.ContainsFunc(problems, func(p settings.Problem) bool {
		return p.File == file && p.Section == section && p.Key == b.key && p.Kind == b.kind && p.Fix != "" && p.Message != ""
	})
	ExpectWithOffset(2, found).To(BeTrue(), "%s [%s] %q must be reported as %s, got:\n%v", file, section, b.line, b.kind, problems)
}

var _ = Describe("object folders", func() {
	for _, folder := range folders {
		It(folder+" has no problem, not even a warning", func() {
			Expect(objects.ReadFolder(folder).Check()).To(BeEmpty())
		})

		It(folder+" has the sizes of its deployment", func() {
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
			back, problems := objects.ParseFolder(copied)
			Expect(problems).To(BeEmpty())
			Expect(proto.Equal(set, back)).To(BeTrue())
		})

		// Guards against a mistake that is accepted, or reported without the
		// place and the fix that an operator alone needs.
		It(folder+" broken in any line names file, section, key and fix", func() {
			copied := GinkgoT().TempDir()
			Expect(os.CopyFS(copied, os.DirFS(folder))).To(Succeed())
			paths, _ := filepath.Glob(filepath.Join(copied, "*.ini"))
			tried := 0
			for _, path := range paths {
				data, err := os.ReadFile(path)
				Expect(err).NotTo(HaveOccurred())
				tried += breakLines(string(data), objectMessage, func(broken, section string, b breakage) {
					Expect(os.WriteFile(path, []byte(broken), 0o600)).To(Succeed())
					expectNamed(objects.ReadFolder(copied).Check(), path, section, b)
				})
				Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
			}
			Expect(tried).To(BeNumerically(">", 300))
		})
	}
})

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

		It(file+" broken in any line names file, section, key and fix", func() {
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			md := message.ProtoReflect().Descriptor()
			breakLines(string(data), func(string) protoreflect.MessageDescriptor { return md }, func(broken, _ string, b breakage) {
				expectNamed(settings.LoadBytes(file, []byte(broken), section, proto.Clone(message)), file, section, b)
			})
		})
	}
})
