package deploy_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/daemon/batchcore"
	"bergamotdrum.example/bergamotdrum/internal/daemon/batchfront"
	"bergamotdrum.example/bergamotdrum/internal/settings"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// placeholderValues are examples of the values that the platform inserts into the
// templates.
var placeholderValues = map[string]string{
	"nodeName": "core-1", "zone": "zone-a", "dataDirectory": "/data/core", "ipAddress": "10.1.0.26", "internalPorts.0": "7000",
	"listenAddresses.control": "10.1.0.26:8345", "listenAddresses.front": "10.1.0.23:8340", "listenAddresses.ready": "10.1.0.23:8343",
	"seedNodes": "10.1.0.26:8345,10.2.0.18:8345", "firstStart": "true", "faultTolerance.machines": "2", "bounds.maxHoldMs": "6000", "bounds.contactMs": "2500",
	"cloud.address": "10.200.0.82:8344",
}

var sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9.]+)\}\}(.*?)\{\{/[a-zA-Z0-9.]+\}\}`)

// render expands a template as the platform does with single values: a
// placeholder becomes its value, and a section is dropped if its value is missing.
func render(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text := sectionPattern.ReplaceAllStringFunc(string(data), func(match string) string {
		parts := sectionPattern.FindStringSubmatch(match)
		if placeholderValues[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return []byte(regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(match string) string {
		value, ok := placeholderValues[strings.Trim(match, "{}")]
		if !ok {
			t.Errorf("%s: %s has no value", file, match)
		}
		return value
	}))
}

// Guards against a template whose result is invalid settings: a process with them
// would not start on any VM.
func TestTemplatesMakeValidSettings(t *testing.T) {
	g := NewWithT(t)
	core := &apiv1.BatchControlSettings{}
	for file, want := range map[string]struct {
		section  string
		settings proto.Message
	}{
		"core.ini":  {batchcore.Section, core},
		"front.ini": {batchfront.Section, &apiv1.BatchFrontSettings{}},
	} {
		problems := settings.LoadBytes(file, render(t, file), want.section, want.settings)
		g.Expect(settings.JoinErrors(problems)).NotTo(HaveOccurred(), file)
	}
	g.Expect(core.ToleratedLosses).To(BeNumerically("==", 2))
	g.Expect(core.MaxLeaseMs).To(BeNumerically("==", 6000))
	g.Expect(core.MaxAnnouncementAgeMs).To(BeNumerically("==", 2500))
	g.Expect(core.ProviderAddress).To(Equal("10.200.0.82:8344"))
}

// Guards against a control replica that does not start on a platform without a
// machine API.
func TestCoreStartsWithoutMachineAPI(t *testing.T) {
	g := NewWithT(t)
	address := placeholderValues["cloud.address"]
	placeholderValues["cloud.address"] = ""
	defer func() { placeholderValues["cloud.address"] = address }()
	core := &apiv1.BatchControlSettings{}
	g.Expect(settings.JoinErrors(settings.LoadBytes("core.ini", render(t, "core.ini"), batchcore.Section, core))).NotTo(HaveOccurred())
	g.Expect(core.ProviderAddress).To(BeEmpty())
}

// Guards against a deploy file that names a template that does not exist.
func TestDeployFileNamesItsTemplates(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("system.toml")
	g.Expect(err).NotTo(HaveOccurred())
	names := regexp.MustCompile(`template = "deploy/([^"]+)"`).FindAllStringSubmatch(string(data), -1)
	g.Expect(names).To(HaveLen(2))
	for _, name := range names {
		_, err := os.Stat(name[1])
		g.Expect(err).NotTo(HaveOccurred())
	}
}
