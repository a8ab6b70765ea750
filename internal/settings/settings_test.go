package settings

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const validClient = `# comment
[client]
operator_addresses = 10.0.0.1:7003, 10.0.0.2:7003
operator_name = ada
operator_key_file = /etc/bergamot/key ; inline comment
`

func loadString(text, section string, into proto.Message) []Problem {
	return LoadBytes("x.ini", []byte(text), section, into)
}

// summarize returns a line with file, kind, section and key for each problem.
func summarize(problems []Problem) string {
	var lines []string
	for _, p := range problems {
		lines = append(lines, strings.Join([]string{p.File, p.Kind.String(), p.Section, p.Key}, "|"))
	}
	return strings.Join(lines, "\n")
}

var _ = Describe("Load", func() {
	It("sets lists, texts, units and defaults", func() {
		var got apiv1.ClientSettings
		Expect(loadString(validClient+"timeout = 2m\n", "client", &got)).To(BeEmpty())
		want := &apiv1.ClientSettings{
			OperatorAddresses: []string{"10.0.0.1:7003", "10.0.0.2:7003"}, OperatorName: "ada",
			OperatorKeyFile: "/etc/bergamot/key", TimeoutMs: 120_000,
		}
		Expect(proto.Equal(&got, want)).To(BeTrue(), "%v", &got)
		got.Reset()
		Expect(loadString(validClient, "client", &got)).To(BeEmpty())
		Expect(got.TimeoutMs).To(BeEquivalentTo(10_000))
	})

	// Guards against a reader that stops at the first problem, so that an operator
	// has to correct and restart once for each mistake.
	It("reports every problem at once", func() {
		text := "stray = 1\n[client]\noperator_addresses = 10.0.0.1:1,, 2\noperator_name =\nno delimiter here\n" +
			"timeout = 10\ntimeot = 5s\n[unknown]\na = 1\n[client]\n"
		Expect(summarize(loadString(text, "client", &apiv1.ClientSettings{}))).To(Equal(strings.Join([]string{
			"x.ini|syntax||", "x.ini|unknown section||stray",
			"x.ini|duplicate section|client|",
			"x.ini|missing value|client|operator_addresses", "x.ini|missing value|client|operator_key_file",
			"x.ini|missing value|client|operator_name",
			"x.ini|unknown key|client|timeot", "x.ini|wrong value|client|timeout",
			"x.ini|unknown section|unknown|",
		}, "\n")))
	})

	DescribeTable("refuses a value and names the key and a fix",
		func(line, kind string) {
			key, _, _ := strings.Cut(line, " =")
			problems := loadString(validClient+line+"\n", "client", &apiv1.ClientSettings{})
			Expect(summarize(problems)).To(Equal("x.ini|" + kind + "|client|" + key))
			Expect(problems[0].Fix).NotTo(BeEmpty())
		},
		Entry("a duration without a unit", "timeout = 500", "wrong value"),
		Entry("a duration in an unknown unit", "timeout = 5days", "wrong value"),
		Entry("a size unit on a duration", "timeout = 5KiB", "wrong value"),
		Entry("a fraction", "timeout = 1.5s", "wrong value"),
		Entry("a negative number", "timeout = -5s", "wrong value"),
		Entry("a duration below the minimum", "timeout = 99ms", "out of range"),
		Entry("a duration above the maximum", "timeout = 601s", "out of range"),
		Entry("a number that overflows with its unit", "timeout = 103122423467612424h", "out of range"),
		Entry("a number that overflows 32 bits with its unit", "timeout = 4294977s", "out of range"),
		Entry("a number over 64 bits", "timeout = 99999999999999999999ms", "out of range"),
		Entry("a repeated key", "operator_name = ada", "duplicate key"),
		Entry("the field name instead of the key", "timeout_ms = 500", "unknown key"),
	)

	It("reads sizes and booleans and refuses a size without a unit and other words", func() {
		entry := "[entry]\nprocess_id = e1\navailability_zone = a\ncaller_address = 127.0.0.1:0\ntarget_address = 127.0.0.1:0\n" +
			"rpc_address = 127.0.0.1:0\nadmin_address = 127.0.0.1:0\ncontrol_addresses = 127.0.0.1:1\ncluster_secret_file = s\n"
		var got apiv1.EntrySettings
		Expect(loadString(entry+"max_body = 3KiB\n", "entry", &got)).To(BeEmpty())
		Expect(got.MaxBodyBytes).To(BeEquivalentTo(3072))
		Expect(summarize(loadString(entry+"max_body = 3072\n", "entry", &got))).To(Equal("x.ini|wrong value|entry|max_body"))
		Expect(summarize(loadString(strings.Replace(entry, "127.0.0.1:0", "localhost:1", 1), "entry", &got))).
			To(Equal("x.ini|wrong value|entry|caller_address"))
		Expect(summarize(loadString(entry+"log_level = loud\n", "entry", &got))).To(Equal("x.ini|wrong value|entry|log_level"))
		Expect(summarize(loadString("[control]\nplatform_url = ftp://10.0.0.5:8000\n", "control", &apiv1.ControlSettings{}))).
			To(ContainSubstring("wrong value|control|platform_url"))
		Expect(summarize(loadString("[control]\nbootstrap = yes\n", "control", &apiv1.ControlSettings{}))).
			To(ContainSubstring("wrong value|control|bootstrap"))
	})

	// Guards against a process that doesn't start because the platform states a rate
	// as a decimal fraction.
	It("rounds rates down and refuses text that is not a number", func() {
		read := func(rate string) (uint32, string) {
			var got apiv1.BatchControlSettings
			problems := loadString("[batch-control]\norders_per_second = "+rate+"\n", "batch-control", &got)
			problems = slices.DeleteFunc(problems, func(p Problem) bool { return p.Key != "orders_per_second" })
			return got.OrdersPerSecond, summarize(problems)
		}
		rate, problems := read("7.9")
		Expect(problems).To(BeEmpty())
		Expect(rate).To(BeEquivalentTo(7))
		for _, text := range []string{"7.", "7.x", ".5", "seven", "1.5e3"} {
			_, problems := read(text)
			Expect(problems).To(Equal("x.ini|wrong value|batch-control|orders_per_second"), text)
		}
	})

	It("reads a file and reports one that is missing", func() {
		path := filepath.Join(GinkgoT().TempDir(), "c.ini")
		Expect(os.WriteFile(path, []byte(validClient), 0o600)).To(Succeed())
		Expect(Load(path, "client", &apiv1.ClientSettings{})).To(BeEmpty())
		Expect(Load(path+"x", "client", &apiv1.ClientSettings{})[0].Kind).To(Equal(Unreadable))
	})

	// Guards against a secret reaching a log through the text of a problem.
	It("never quotes a value in a problem", func() {
		problems := loadString("[client]\ntimeout = s3cr3t\ns3cr3t line\noperator_name = `s3cr3t`\n", "client", &apiv1.ClientSettings{})
		Expect(JoinErrors(problems)).To(HaveOccurred())
		Expect(JoinErrors(problems).Error()).NotTo(ContainSubstring("s3cr3t"))
	})
})
