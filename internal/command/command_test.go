package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/operator/operatortest"
	"bergamotdrum.example/bergamotdrum/internal/publish"
	"bergamotdrum.example/bergamotdrum/internal/result"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

// harness runs command lines against one control replica, which is a fake unless
// the settings file names another one.
type harness struct {
	replica  *operatortest.Replica
	folder   string // folder of objects, a copy of examples/care-homes
	settings string
	out, err string // stdout and stderr of the last command
}

func newHarness() *harness {
	replica, credential, stop := operatortest.StartReplica()
	DeferCleanup(stop)
	dir := GinkgoT().TempDir()
	h := &harness{replica: replica, folder: filepath.Join(dir, "objects"), settings: filepath.Join(dir, "client.ini")}
	Expect(os.CopyFS(h.folder, os.DirFS("../../examples/care-homes"))).To(Succeed())
	secret := filepath.Join(dir, "ada.key")
	Expect(os.WriteFile(secret, []byte(strings.TrimPrefix(credential, "ada.")+"\n"), 0o600)).To(Succeed())
	text := "[client]\noperator_addresses = " + replica.Address + "\noperator_name = ada\noperator_key_file = " + secret + "\ntimeout = 1s\n"
	Expect(os.WriteFile(h.settings, []byte(text), 0o600)).To(Succeed())
	return h
}

func (h *harness) run(args ...string) int {
	var out, errs bytes.Buffer
	a := &app{stdout: &out, stderr: &errs, pollInterval: time.Millisecond, publishAttemptTimeout: time.Second}
	code := run(context.Background(), append([]string{"--settings", h.settings}, args...), a)
	h.out, h.err = out.String(), errs.String()
	return code
}

func (h *harness) mustRun(args ...string) {
	ExpectWithOffset(1, h.run(args...)).To(Equal(0), "%v: %s%s", args, h.out, h.err)
}

func (h *harness) publishFirstVersion() { h.mustRun("publish", h.folder, "--expected-version", "0") }

func (h *harness) replaceInFile(file, old, replacement string) {
	path := filepath.Join(h.folder, file)
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(ContainSubstring(old))
	Expect(os.WriteFile(path, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600)).To(Succeed())
}

// publishAsOtherOperator publishes a change of another operator. Tests use it as
// operatortest.Replica.BeforePublish to cause a version conflict.
func publishAsOtherOperator(state *publish.State) {
	set := proto.CloneOf(state.Current().Objects)
	set.Limit[0].MaxRunning++
	_, err := state.Publish(0, &apiv1.PublishConfig{RequestId: "other", ExpectedVersion: state.Current().Version, Objects: set})
	Expect(err).To(BeNil())
}

var _ = Describe("configuration commands", func() {
	It("check lists file, section, key and fix, and exits with the code of the error", func() {
		h := newHarness()
		h.mustRun("check", h.folder)
		h.replaceInFile("pools.ini", "capacity_policy = zone-loss", "capacity_policy = zone-los")
		Expect(h.run("check", h.folder)).To(Equal(40))
		for _, part := range []string{"pools.ini", `[pool "heat-alerts"]`, "capacity_policy", "fix: "} {
			Expect(h.out).To(ContainSubstring(part))
		}
		Expect(h.run("check", h.folder, "-o", "json")).To(Equal(40))
		Expect(json.Valid([]byte(h.out))).To(BeTrue())
		Expect(json.Valid([]byte(h.err))).To(BeTrue())
		Expect(h.run("publish", h.folder, "--expected-version", "0")).To(Equal(40))
		Expect(h.replica.Requests).To(BeEmpty())
	})

	It("check --server warns of zones in which nothing runs", func() {
		h := newHarness()
		h.replica.FixedReplies["/v1/status"] = &apiv1.StatusReport{Zones: []*apiv1.ZoneStatus{
			{AvailabilityZone: "north-a", VmsUp: 1}, {AvailabilityZone: "north-b", Sessions: 1}, {AvailabilityZone: "north-c"},
		}}
		h.mustRun("check", h.folder, "--server")
		Expect(h.out).To(ContainSubstring(`[availability_zone "north-c"]`))
		Expect(h.out).To(ContainSubstring("0 errors, 1 warning"))
	})

	It("publishes on the recorded base version, waits until it is in force, and diffs", func() {
		h := newHarness()
		Expect(h.run("publish", h.folder)).To(Equal(10))
		Expect(h.err).To(ContainSubstring("--expected-version"))
		h.replica.NotInForceReplies = 3
		h.publishFirstVersion()
		Expect(h.out).To(Equal("version 1 is in force\n"))
		Expect(h.replica.Requests).To(HaveLen(4))
		h.replaceInFile("limits.ini", "max_running = 240", "max_running = 250")
		h.mustRun("diff", h.folder)
		Expect(h.out).To(Equal("change limit \"large\": max_running from 240 to 250\n"))
		h.mustRun("publish", h.folder, "--comment", "more")
		Expect(h.replica.Current().Version).To(BeEquivalentTo(2))
		h.mustRun("diff", h.folder)
		Expect(h.out).To(ContainSubstring("no difference"))
		h.mustRun("history", "-o", "json")
		Expect(json.Valid([]byte(h.out))).To(BeTrue())
		Expect(h.out).To(ContainSubstring(`"comment": "more"`))
	})

	// Guards against a publish that reverts another operator's change without
	// notice.
	It("refuses a publish that is based on an outdated version", func() {
		h := newHarness()
		h.publishFirstVersion()
		h.replica.BeforePublish = publishAsOtherOperator
		Expect(h.run("publish", h.folder)).To(Equal(41))
		Expect(h.replica.Current().Version).To(BeEquivalentTo(2))
	})

	// Guards against a publish of unknown outcome that is applied twice, or refused
	// with a conflict with the first one, when the operator runs the command again.
	It("returns the first result when run again with the printed request id", func() {
		h := newHarness()
		h.replica.LoseAnswers = 1000
		Expect(h.run("publish", h.folder, "--expected-version", "0")).To(Equal(30))
		_, id, found := strings.Cut(h.err, "--request-id ")
		Expect(found).To(BeTrue())
		id, _, _ = strings.Cut(id, " ")
		h.replica.LoseAnswers = 0
		h.mustRun("publish", h.folder, "--expected-version", "0", "--request-id", id)
		Expect(h.replica.Current().Version).To(BeEquivalentTo(1))
	})

	It("exits with 3 while entries have not acknowledged the version", func() {
		h := newHarness()
		h.replica.NotInForceReplies = 1 << 30
		Expect(h.run("publish", h.folder, "--expected-version", "0", "--wait", "10ms")).To(Equal(3))
		Expect(h.err).To(ContainSubstring("entry-1 in az-a"))
	})

	It("gets a version into a folder, and overwrites files only with --force", func() {
		h := newHarness()
		h.publishFirstVersion()
		h.replaceInFile("limits.ini", "max_running = 240", "max_running = 250")
		h.mustRun("publish", h.folder)
		Expect(h.run("get", h.folder)).To(Equal(10))
		h.replica.FixedReplies["/v1/config"] = h.replica.Current() // a server that ignores the version
		Expect(h.run("get", h.folder, "--version", "1", "--force")).To(Equal(90))
		delete(h.replica.FixedReplies, "/v1/config")
		h.mustRun("get", h.folder, "--version", "1", "--force")
		set, problems := objects.ParseFolder(h.folder)
		Expect(problems).To(BeEmpty())
		Expect(set.Limit[0].MaxRunning).To(BeEquivalentTo(240))
		h.mustRun("publish", h.folder)
		Expect(h.replica.Current().Version).To(BeEquivalentTo(3))
		hash := h.replica.Current().Objects.Key[0].Hash
		for _, args := range [][]string{{"get"}, {"get", "-o", "json"}} {
			h.mustRun(args...)
			Expect(h.out).To(ContainSubstring("season-summaries"))
			Expect(h.out).NotTo(ContainSubstring(hash))
		}
	})
})

var _ = Describe("editing commands", func() {
	// Guards against an edit that overwrites what another operator published
	// between its fetch and its publish.
	It("zone out keeps a concurrent change of another operator", func() {
		h := newHarness()
		h.publishFirstVersion()
		limit := h.replica.Current().Objects.Limit[0].MaxRunning
		h.replica.BeforePublish = publishAsOtherOperator
		h.mustRun("zone", "out", "north-b")
		current := h.replica.Current()
		Expect(current.Version).To(BeEquivalentTo(3))
		Expect(current.Objects.Limit[0].MaxRunning).To(Equal(limit + 1))
		Expect(objects.NewIndex(current.Objects).IsZoneIn("north-b")).To(BeFalse())
		h.mustRun("zone", "out", "north-b")
		Expect(h.replica.Current().Version).To(BeEquivalentTo(3), "an edit without a change publishes no version")
		h.mustRun("zone", "in", "north-b")
		Expect(objects.NewIndex(h.replica.Current().Objects).IsZoneIn("north-b")).To(BeTrue())
		Expect(h.run("zone", "out", "north-x")).To(Equal(19))
	})

	It("issues a key that works and withdraws it", func() {
		h := newHarness()
		h.publishFirstVersion()
		h.mustRun("key", "issue", "city-2", "--account", "city-homes")
		credential, _, _ := strings.Cut(h.out, "\n")
		_, team, err := objects.NewIndex(h.replica.Current().Objects).Authenticate(credential)
		Expect(err).To(BeNil())
		Expect(team.Name).To(Equal("city-homes"))
		for _, body := range h.replica.Bodies {
			Expect(string(body)).NotTo(ContainSubstring(strings.TrimPrefix(credential, "city-2.")))
		}
		h.mustRun("key", "withdraw", "city-2")
		_, _, err = objects.NewIndex(h.replica.Current().Objects).Authenticate(credential)
		Expect(err).NotTo(BeNil())
		Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_KEY_REVOKED))
		Expect(h.run("key", "issue", "city-2", "--account", "city-homes")).To(Equal(10))
		Expect(h.run("key", "issue", "city-3", "--account", "nobody")).To(Equal(19))
		path := filepath.Join(h.folder, "city-4.key")
		h.mustRun("key", "issue", "city-4", "--account", "city-homes", "--secret-file", path)
		data, readErr := os.ReadFile(path)
		Expect(readErr).NotTo(HaveOccurred())
		_, _, err = objects.NewIndex(h.replica.Current().Objects).Authenticate(strings.TrimSpace(string(data)))
		Expect(err).To(BeNil())
		Expect(h.out).NotTo(ContainSubstring(strings.TrimSpace(string(data))))
	})

	It("plans, starts and pauses a maintenance", func() {
		h := newHarness()
		h.publishFirstVersion()
		h.mustRun("maintenance", "plan", "fan", "--pool", "heat-alerts", "--vms", "h-1,h-2", "--action", "drain", "--drain-timeout", "90s")
		want := &apiv1.Maintenance{
			Name: "fan", Pool: "heat-alerts", Vms: []string{"h-1", "h-2"}, DrainTimeoutMs: 90_000,
			Action: apiv1.IntentKind_INTENT_KIND_DRAIN, State: apiv1.MaintenanceState_MAINTENANCE_STATE_PLANNED,
		}
		Expect(proto.Equal(h.replica.Current().Objects.Maintenance[0], want)).To(BeTrue())
		h.mustRun("maintenance", "start", "fan")
		Expect(h.replica.Current().Objects.Maintenance[0].State).To(Equal(apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING))
		h.mustRun("maintenance", "pause", "fan")
		Expect(h.replica.Current().Objects.Maintenance[0].State).To(Equal(apiv1.MaintenanceState_MAINTENANCE_STATE_PAUSED))
		Expect(h.run("maintenance", "plan", "all", "--pool", "heat-alerts", "--max-parallel", "9")).To(Equal(40))
	})
})

var _ = Describe("reports", func() {
	It("status and explain show all parts of their reports", func() {
		h := newHarness()
		h.replica.FixedReplies["/v1/status"] = &apiv1.StatusReport{
			ConfigVersion: 7,
			Pools:         []*apiv1.PoolStatus{{Pool: "heat", VmsUp: 9, VmsDown: 1, MaxDown: 2}},
			Teams:         []*apiv1.TeamStatus{{Team: "city", SharePermille: 123, MaxRunning: 240}},
			Zones:         []*apiv1.ZoneStatus{{AvailabilityZone: "north-a", State: apiv1.ZoneState_ZONE_STATE_OUT}},
		}
		h.mustRun("status")
		Expect(h.out).To(MatchRegexp(`heat +no +9 +1 +0 +0 +2`))
		Expect(h.out).To(MatchRegexp(`city +0 +0 +0 +12\.3% +240`))
		Expect(h.out).To(MatchRegexp(`north-a +- +out`))
		h.replica.FixedReplies["/v1/explain"] = &apiv1.ExplainReport{
			Kind: "vm", Id: "h-1", Summary: "draining",
			Reasons: []*apiv1.ExplainReason{{Code: 7000, Message: "budget used up", Fix: "wait"}},
		}
		h.mustRun("explain", "vm", "h-1")
		Expect(h.replica.Requests).To(ContainElement("GET /v1/explain?vm=h-1"))
		Expect(h.out).To(ContainSubstring("because: budget used up (7000)\n    fix: wait"))
	})

	It("lists, shows and cancels jobs", func() {
		h := newHarness()
		other := &apiv1.Job{JobId: "j0", State: apiv1.JobState_JOB_STATE_RUNNING}
		job := &apiv1.Job{JobId: "j1", State: apiv1.JobState_JOB_STATE_PARKED, Queue: "q", Reason: "failed", Lease: &apiv1.JobLease{Vm: "h-1"}}
		h.replica.FixedReplies["/v1/jobs"] = &apiv1.JobList{Jobs: []*apiv1.Job{other, job}} // a server without filters
		h.mustRun("jobs", "list", "--state", "parked", "--limit", "5")
		Expect(h.replica.Requests).To(ContainElement("GET /v1/jobs?limit=5&state=parked"))
		Expect(h.out).To(MatchRegexp(`j1 +parked +unspecified +q +- +- +failed`))
		Expect(h.out).NotTo(ContainSubstring("j0"))
		h.mustRun("jobs", "list", "--limit", "1")
		Expect(h.err).To(ContainSubstring("--limit"))
		h.replica.FixedReplies["/v1/jobs/j1"] = job
		h.mustRun("jobs", "show", "j1")
		Expect(h.out).To(ContainSubstring("h-1"))
		Expect(h.run("jobs", "show", "j2")).To(Equal(19))
		h.replica.FixedReplies["/v1/jobs/cancel"] = &apiv1.Rejections{Rejections: []*apiv1.Rejection{{
			Id: "j2", Status: result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "no job").Status(),
		}}}
		Expect(h.run("jobs", "cancel", "j1", "j2")).To(Equal(63))
		Expect(h.out).To(Equal("j2: not canceled: no job\n1 cancellation accepted\n"))
	})

	It("replaces a control replica, dumps, and creates an operator key", func() {
		h := newHarness()
		h.replica.Members = []*apiv1.ControlReplicaStatus{{ReplicaId: 11}, {ReplicaId: 12}}
		h.replica.FixedReplies["/v1/status"] = &apiv1.StatusReport{ControlReplicas: h.replica.Members}
		Expect(h.run("control", "replace", "10", "27", "10.0.1.9:7001")).To(Equal(19))
		Expect(h.replica.Members).To(HaveLen(2), "no replica is added if the old one is not a member")
		Expect(h.run("control", "replace", "11", "27", "10.0.1.9:7001", "--wait", "0s")).To(Equal(3))
		Expect(h.replica.Members).To(HaveLen(3), "the old replica stays while the new one is a learner")
		h.mustRun("control", "replace", "11", "27", "10.0.1.9:7001")
		Expect(h.replica.Members).To(HaveLen(2))
		Expect(h.replica.Members[1].Learner).To(BeFalse())
		h.replica.FixedReplies["/v1/dump"] = &apiv1.StatusReport{ConfigVersion: 9}
		path := filepath.Join(h.folder, "dump.json")
		h.mustRun("dump", "--out", path)
		Expect(os.ReadFile(path)).To(ContainSubstring("9"))
		h.mustRun("operator-key", "bob")
		keys, problems := operator.ParseKeys("", []byte(h.out))
		Expect(problems).To(BeEmpty())
		_, secret, _ := strings.Cut(strings.TrimSpace(h.err), ": ")
		_, err := keys.Authenticate("Bearer bob." + secret)
		Expect(err).To(BeNil())
		Expect(h.run("operator-key", "b.ob")).To(Equal(10))
	})
})

var _ = Describe("command line", func() {
	// Guards against a command that operators cannot learn about from the program.
	It("gives every command a help text with an example", func() {
		parser, err := kong.New(&CLI{}, kong.Name("bergamotctl"))
		Expect(err).NotTo(HaveOccurred())
		leaves := parser.Model.Leaves(false)
		Expect(len(leaves)).To(Equal(24))
		for _, leaf := range leaves {
			Expect(leaf.Help).NotTo(BeEmpty(), leaf.Path())
			Expect(leaf.Detail).To(ContainSubstring("bergamotctl "+leafName(leaf)), leaf.Path())
		}
	})

	It("exits with 0 for help, 2 for a wrong command line and 10 for wrong settings", func() {
		h := newHarness()
		Expect(h.run("publish", "--help")).To(Equal(0))
		Expect(h.out).To(ContainSubstring("--request-id"))
		Expect(h.run("publsh")).To(Equal(2))
		Expect(h.run("status", "-o", "xml")).To(Equal(2))
		h.settings += "x"
		Expect(h.run("status")).To(Equal(10))
		Expect(h.err).To(ContainSubstring("client.inix"))
	})

	It("has an exit code between 10 and 99 for every result code of an error", func() {
		for number := range apiv1.ResultCode_name {
			if number >= 1000 {
				Expect(ExitCode(apiv1.ResultCode(number))).To(And(BeNumerically(">=", 10), BeNumerically("<", 100)))
			}
		}
	})
})

// leafName returns the words of a command without the program's name.
func leafName(n *kong.Node) string {
	if n.Parent == nil || n.Parent.Type == kong.ApplicationNode {
		return n.Name
	}
	return leafName(n.Parent) + " " + n.Name
}
