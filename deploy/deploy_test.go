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

// values stand in for what the platform fills in.
var values = map[string]string{
	"nodeName": "core-1", "zone": "zone-a", "dataDirectory": "/data/core", "ipAddress": "10.1.0.26", "internalPorts.0": "7000",
	"listenAddresses.control": "10.1.0.26:8345", "listenAddresses.front": "10.1.0.23:8340", "listenAddresses.ready": "10.1.0.23:8343",
	"seedNodes": "10.1.0.26:8345,10.2.0.18:8345", "firstStart": "true", "faultTolerance.machines": "2", "bounds.maxHoldMs": "6000",
	"cloud.address": "10.200.0.82:8344",
}

var section = regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9.]+)\}\}(.*?)\{\{/[a-zA-Z0-9.]+\}\}`)

// render fills in placeholders and sections the way the platform does for
// single values.
func render(t *testing.T, file string) []byte {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text := section.ReplaceAllStringFunc(string(data), func(match string) string {
		parts := section.FindStringSubmatch(match)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return []byte(regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(match string) string {
		value, ok := values[strings.Trim(match, "{}")]
		if !ok {
			t.Errorf("%s: %s has no value", file, match)
		}
		return value
	}))
}

// Guards against a template whose result a process refuses: it would not start
// on any VM.
func TestTemplatesMakeValidSettings(t *testing.T) {
	g := NewWithT(t)
	core := &apiv1.BatchControlSettings{}
	for file, want := range map[string]struct {
		section string
		into    proto.Message
	}{
		"core.ini":  {batchcore.Section, core},
		"front.ini": {batchfront.Section, &apiv1.BatchFrontSettings{}},
	} {
		problems := settings.LoadBytes(file, render(t, file), want.section, want.into)
		g.Expect(settings.JoinErrors(problems)).NotTo(HaveOccurred(), file)
	}
	g.Expect(core.ToleratedLosses).To(BeNumerically("==", 2))
	g.Expect(core.MaxLeaseMs).To(BeNumerically("==", 6000))
	g.Expect(core.ProviderAddress).To(Equal("10.200.0.82:8344"))
}

// Guards against a core that does not start where the platform has no machine
// API.
func TestCoreStartsWithoutMachineAPI(t *testing.T) {
	g := NewWithT(t)
	address := values["cloud.address"]
	values["cloud.address"] = ""
	defer func() { values["cloud.address"] = address }()
	core := &apiv1.BatchControlSettings{}
	g.Expect(settings.JoinErrors(settings.LoadBytes("core.ini", render(t, "core.ini"), batchcore.Section, core))).NotTo(HaveOccurred())
	g.Expect(core.ProviderAddress).To(BeEmpty())
}

// Guards against a deploy file that names a template which is not there.
func TestDeployFileNamesItsTemplates(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("system.toml")
	g.Expect(err).NotTo(HaveOccurred())
	names := regexp.MustCompile(`template = "deploy/([^"]+)"`).FindAllStringSubmatch(string(data), -1)
	g.Expect(names).To(HaveLen(2))
	for _, n := range names {
		_, err := os.Stat(n[1])
		g.Expect(err).NotTo(HaveOccurred())
	}
}
