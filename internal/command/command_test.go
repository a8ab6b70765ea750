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

// shell runs command lines against one stand-in control replica.
type shell struct {
	control  *operatortest.Replica
	folder   string // copy of the care-homes example
	settings string
	out, err string // of the last command
}

func newShell() *shell {
	control, credential, stop := operatortest.StartReplica()
	DeferCleanup(stop)
	dir := GinkgoT().TempDir()
	s := &shell{control: control, folder: filepath.Join(dir, "objects"), settings: filepath.Join(dir, "client.ini")}
	Expect(os.CopyFS(s.folder, os.DirFS("../../examples/care-homes"))).To(Succeed())
	secret := filepath.Join(dir, "ada.key")
	Expect(os.WriteFile(secret, []byte(strings.TrimPrefix(credential, "ada.")+"\n"), 0o600)).To(Succeed())
	text := "[client]\noperator_addresses = " + control.Address + "\noperator_name = ada\noperator_key_file = " + secret + "\ntimeout = 1s\n"
	Expect(os.WriteFile(s.settings, []byte(text), 0o600)).To(Succeed())
	return s
}

func (s *shell) run(args ...string) int {
	var out, errs bytes.Buffer
	a := &app{stdout: &out, stderr: &errs, pollInterval: time.Millisecond, publishWait: time.Second}
	code := run(context.Background(), append([]string{"--settings", s.settings}, args...), a)
	s.out, s.err = out.String(), errs.String()
	return code
}

func (s *shell) mustRun(args ...string) {
	ExpectWithOffset(1, s.run(args...)).To(Equal(0), "%v: %s%s", args, s.out, s.err)
}

func (s *shell) publishFirst() { s.mustRun("publish", s.folder, "--expected-version", "0") }

func (s *shell) replace(file, old, now string) {
	path := filepath.Join(s.folder, file)
	data, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(ContainSubstring(old))
	Expect(os.WriteFile(path, []byte(strings.Replace(string(data), old, now, 1)), 0o600)).To(Succeed())
}

// otherOperator changes the set as another operator does at the same time.
func otherOperator(state *publish.State) {
	set := proto.CloneOf(state.Current().Objects)
	set.Limit[0].MaxRunning++
	_, err := state.Publish(0, &apiv1.PublishConfig{RequestId: "other", ExpectedVersion: state.Current().Version, Objects: set})
	Expect(err).To(BeNil())
}

var _ = Describe("configuration commands", func() {
	It("check lists file, section, key and fix, and exits by the code", func() {
		s := newShell()
		s.mustRun("check", s.folder)
		s.replace("pools.ini", "capacity_policy = zone-loss", "capacity_policy = zone-los")
		Expect(s.run("check", s.folder)).To(Equal(40))
		for _, part := range []string{"pools.ini", `[pool "heat-alerts"]`, "capacity_policy", "fix: "} {
			Expect(s.out).To(ContainSubstring(part))
		}
		Expect(s.run("check", s.folder, "-o", "json")).To(Equal(40))
		Expect(json.Valid([]byte(s.out))).To(BeTrue())
		Expect(json.Valid([]byte(s.err))).To(BeTrue())
		Expect(s.run("publish", s.folder, "--expected-version", "0")).To(Equal(40))
		Expect(s.control.Requests).To(BeEmpty())
	})

	It("check --server warns of zones in which nothing runs", func() {
		s := newShell()
		s.control.FixedReplies["/v1/status"] = &apiv1.StatusReport{Zones: []*apiv1.ZoneStatus{
			{AvailabilityZone: "north-a", VmsUp: 1}, {AvailabilityZone: "north-b", Sessions: 1}, {AvailabilityZone: "north-c"},
		}}
		s.mustRun("check", s.folder, "--server")
		Expect(s.out).To(ContainSubstring(`[availability_zone "north-c"]`))
		Expect(s.out).To(ContainSubstring("0 errors, 1 warning"))
	})

	It("publishes on the recorded base, waits until in force, and diffs", func() {
		s := newShell()
		Expect(s.run("publish", s.folder)).To(Equal(10))
		Expect(s.err).To(ContainSubstring("--expected-version"))
		s.control.NotInForceReplies = 3
		s.publishFirst()
		Expect(s.out).To(Equal("version 1 is in force\n"))
		Expect(s.control.Requests).To(HaveLen(4))
		s.replace("limits.ini", "max_running = 240", "max_running = 250")
		s.mustRun("diff", s.folder)
		Expect(s.out).To(Equal("change limit \"large\": max_running from 240 to 250\n"))
		s.mustRun("publish", s.folder, "--comment", "more")
		Expect(s.control.Current().Version).To(BeEquivalentTo(2))
		s.mustRun("diff", s.folder)
		Expect(s.out).To(ContainSubstring("no difference"))
		s.mustRun("history", "-o", "json")
		Expect(json.Valid([]byte(s.out))).To(BeTrue())
		Expect(s.out).To(ContainSubstring(`"comment": "more"`))
	})

	// Guards against a publish that silently undoes another operator's change.
	It("refuses a stale base and says what to do", func() {
		s := newShell()
		s.publishFirst()
		s.control.BeforePublish = otherOperator
		Expect(s.run("publish", s.folder)).To(Equal(41))
		Expect(s.control.Current().Version).To(BeEquivalentTo(2))
	})

	// Guards against a publish of unknown outcome that is done twice or reported
	// as a conflict with itself when the operator runs the command again.
	It("gives the first result when run again under the printed request id", func() {
		s := newShell()
		s.control.LoseAnswers = 1000
		Expect(s.run("publish", s.folder, "--expected-version", "0")).To(Equal(30))
		_, id, found := strings.Cut(s.err, "--request-id ")
		Expect(found).To(BeTrue())
		id, _, _ = strings.Cut(id, " ")
		s.control.LoseAnswers = 0
		s.mustRun("publish", s.folder, "--expected-version", "0", "--request-id", id)
		Expect(s.control.Current().Version).To(BeEquivalentTo(1))
	})

	It("exits with 3 while entries have not acknowledged", func() {
		s := newShell()
		s.control.NotInForceReplies = 1 << 30
		Expect(s.run("publish", s.folder, "--expected-version", "0", "--wait", "10ms")).To(Equal(3))
		Expect(s.err).To(ContainSubstring("entry-1 in az-a"))
	})

	It("gets a version into a folder without losing what is there", func() {
		s := newShell()
		s.publishFirst()
		s.replace("limits.ini", "max_running = 240", "max_running = 250")
		s.mustRun("publish", s.folder)
		Expect(s.run("get", s.folder)).To(Equal(10))
		s.control.FixedReplies["/v1/config"] = s.control.Current() // a server that ignores the version
		Expect(s.run("get", s.folder, "--version", "1", "--force")).To(Equal(90))
		delete(s.control.FixedReplies, "/v1/config")
		s.mustRun("get", s.folder, "--version", "1", "--force")
		set, problems := objects.ParseFolder(s.folder)
		Expect(problems).To(BeEmpty())
		Expect(set.Limit[0].MaxRunning).To(BeEquivalentTo(240))
		s.mustRun("publish", s.folder)
		Expect(s.control.Current().Version).To(BeEquivalentTo(3))
		hash := s.control.Current().Objects.Key[0].Hash
		for _, args := range [][]string{{"get"}, {"get", "-o", "json"}} {
			s.mustRun(args...)
			Expect(s.out).To(ContainSubstring("season-summaries"))
			Expect(s.out).NotTo(ContainSubstring(hash))
		}
	})
})

var _ = Describe("editing commands", func() {
	// Guards against an edit that overwrites what another operator published
	// between the fetch and the publish.
	It("zone out keeps a racing operator's change", func() {
		s := newShell()
		s.publishFirst()
		limit := s.control.Current().Objects.Limit[0].MaxRunning
		s.control.BeforePublish = otherOperator
		s.mustRun("zone", "out", "north-b")
		current := s.control.Current()
		Expect(current.Version).To(BeEquivalentTo(3))
		Expect(current.Objects.Limit[0].MaxRunning).To(Equal(limit + 1))
		Expect(objects.NewIndex(current.Objects).IsZoneIn("north-b")).To(BeFalse())
		s.mustRun("zone", "out", "north-b")
		Expect(s.control.Current().Version).To(BeEquivalentTo(3), "no change needs no version")
		s.mustRun("zone", "in", "north-b")
		Expect(objects.NewIndex(s.control.Current().Objects).IsZoneIn("north-b")).To(BeTrue())
		Expect(s.run("zone", "out", "north-x")).To(Equal(19))
	})

	It("issues a key that works and withdraws it", func() {
		s := newShell()
		s.publishFirst()
		s.mustRun("key", "issue", "city-2", "--account", "city-homes")
		credential, _, _ := strings.Cut(s.out, "\n")
		_, team, err := objects.NewIndex(s.control.Current().Objects).Authenticate(credential)
		Expect(err).To(BeNil())
		Expect(team.Name).To(Equal("city-homes"))
		for _, body := range s.control.Bodies {
			Expect(string(body)).NotTo(ContainSubstring(strings.TrimPrefix(credential, "city-2.")))
		}
		s.mustRun("key", "withdraw", "city-2")
		_, _, err = objects.NewIndex(s.control.Current().Objects).Authenticate(credential)
		Expect(err).NotTo(BeNil())
		Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_KEY_REVOKED))
		Expect(s.run("key", "issue", "city-2", "--account", "city-homes")).To(Equal(10))
		Expect(s.run("key", "issue", "city-3", "--account", "nobody")).To(Equal(19))
		path := filepath.Join(s.folder, "city-4.key")
		s.mustRun("key", "issue", "city-4", "--account", "city-homes", "--secret-file", path)
		data, readErr := os.ReadFile(path)
		Expect(readErr).NotTo(HaveOccurred())
		_, _, err = objects.NewIndex(s.control.Current().Objects).Authenticate(strings.TrimSpace(string(data)))
		Expect(err).To(BeNil())
		Expect(s.out).NotTo(ContainSubstring(strings.TrimSpace(string(data))))
	})

	It("plans, starts and pauses a maintenance", func() {
		s := newShell()
		s.publishFirst()
		s.mustRun("maintenance", "plan", "fan", "--pool", "heat-alerts", "--vms", "h-1,h-2", "--action", "drain", "--drain-timeout", "90s")
		want := &apiv1.Maintenance{
			Name: "fan", Pool: "heat-alerts", Vms: []string{"h-1", "h-2"}, DrainTimeoutMs: 90_000,
			Action: apiv1.IntentKind_INTENT_KIND_DRAIN, State: apiv1.MaintenanceState_MAINTENANCE_STATE_PLANNED,
		}
		Expect(proto.Equal(s.control.Current().Objects.Maintenance[0], want)).To(BeTrue())
		s.mustRun("maintenance", "start", "fan")
		Expect(s.control.Current().Objects.Maintenance[0].State).To(Equal(apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING))
		s.mustRun("maintenance", "pause", "fan")
		Expect(s.control.Current().Objects.Maintenance[0].State).To(Equal(apiv1.MaintenanceState_MAINTENANCE_STATE_PAUSED))
		Expect(s.run("maintenance", "plan", "all", "--pool", "heat-alerts", "--max-parallel", "9")).To(Equal(40))
	})
})

var _ = Describe("reports", func() {
	It("status and explain show every part", func() {
		s := newShell()
		s.control.FixedReplies["/v1/status"] = &apiv1.StatusReport{
			ConfigVersion: 7,
			Pools:         []*apiv1.PoolStatus{{Pool: "heat", VmsUp: 9, VmsDown: 1, MaxDown: 2}},
			Teams:         []*apiv1.TeamStatus{{Team: "city", SharePermille: 123, MaxRunning: 240}},
			Zones:         []*apiv1.ZoneStatus{{AvailabilityZone: "north-a", State: apiv1.ZoneState_ZONE_STATE_OUT}},
		}
		s.mustRun("status")
		Expect(s.out).To(MatchRegexp(`heat +no +9 +1 +0 +0 +2`))
		Expect(s.out).To(MatchRegexp(`city +0 +0 +0 +12\.3% +240`))
		Expect(s.out).To(MatchRegexp(`north-a +- +out`))
		s.control.FixedReplies["/v1/explain"] = &apiv1.ExplainReport{
			Kind: "vm", Id: "h-1", Summary: "draining",
			Reasons: []*apiv1.ExplainReason{{Code: 7000, Message: "budget used up", Fix: "wait"}},
		}
		s.mustRun("explain", "vm", "h-1")
		Expect(s.control.Requests).To(ContainElement("GET /v1/explain?vm=h-1"))
		Expect(s.out).To(ContainSubstring("because: budget used up (7000)\n    fix: wait"))
	})

	It("lists, shows and cancels jobs", func() {
		s := newShell()
		other := &apiv1.Job{JobId: "j0", State: apiv1.JobState_JOB_STATE_RUNNING}
		job := &apiv1.Job{JobId: "j1", State: apiv1.JobState_JOB_STATE_PARKED, Queue: "q", Reason: "failed", Lease: &apiv1.JobLease{Vm: "h-1"}}
		s.control.FixedReplies["/v1/jobs"] = &apiv1.JobList{Jobs: []*apiv1.Job{other, job}} // a server without filters
		s.mustRun("jobs", "list", "--state", "parked", "--limit", "5")
		Expect(s.control.Requests).To(ContainElement("GET /v1/jobs?limit=5&state=parked"))
		Expect(s.out).To(MatchRegexp(`j1 +parked +unspecified +q +- +- +failed`))
		Expect(s.out).NotTo(ContainSubstring("j0"))
		s.mustRun("jobs", "list", "--limit", "1")
		Expect(s.err).To(ContainSubstring("--limit"))
		s.control.FixedReplies["/v1/jobs/j1"] = job
		s.mustRun("jobs", "show", "j1")
		Expect(s.out).To(ContainSubstring("h-1"))
		Expect(s.run("jobs", "show", "j2")).To(Equal(19))
		s.control.FixedReplies["/v1/jobs/cancel"] = &apiv1.Rejections{Rejections: []*apiv1.Rejection{{
			Id: "j2", Status: result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "no job").Status(),
		}}}
		Expect(s.run("jobs", "cancel", "j1", "j2")).To(Equal(63))
		Expect(s.out).To(Equal("j2: not canceled: no job\n1 cancellation accepted\n"))
	})

	It("replaces a control replica, dumps, and creates an operator key", func() {
		s := newShell()
		s.control.Members = []*apiv1.ControlReplicaStatus{{ReplicaId: 11}, {ReplicaId: 12}}
		s.control.FixedReplies["/v1/status"] = &apiv1.StatusReport{ControlReplicas: s.control.Members}
		Expect(s.run("control", "replace", "10", "27", "10.0.1.9:7001")).To(Equal(19))
		Expect(s.control.Members).To(HaveLen(2), "nothing is added for a replica that is not there")
		Expect(s.run("control", "replace", "11", "27", "10.0.1.9:7001", "--wait", "0s")).To(Equal(3))
		Expect(s.control.Members).To(HaveLen(3), "the old replica stays while the new one is a learner")
		s.mustRun("control", "replace", "11", "27", "10.0.1.9:7001")
		Expect(s.control.Members).To(HaveLen(2))
		Expect(s.control.Members[1].Learner).To(BeFalse())
		s.control.FixedReplies["/v1/dump"] = &apiv1.StatusReport{ConfigVersion: 9}
		path := filepath.Join(s.folder, "dump.json")
		s.mustRun("dump", "--out", path)
		Expect(os.ReadFile(path)).To(ContainSubstring("9"))
		s.mustRun("operator-key", "bob")
		keys, problems := operator.ParseKeys("", []byte(s.out))
		Expect(problems).To(BeEmpty())
		_, secret, _ := strings.Cut(strings.TrimSpace(s.err), ": ")
		_, err := keys.Authenticate("Bearer bob." + secret)
		Expect(err).To(BeNil())
		Expect(s.run("operator-key", "b.ob")).To(Equal(10))
	})
})

var _ = Describe("grammar", func() {
	// Guards against a command that an operator alone cannot find out about.
	It("gives every command a help with an example", func() {
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
		s := newShell()
		Expect(s.run("publish", "--help")).To(Equal(0))
		Expect(s.out).To(ContainSubstring("--request-id"))
		Expect(s.run("publsh")).To(Equal(2))
		Expect(s.run("status", "-o", "xml")).To(Equal(2))
		s.settings += "x"
		Expect(s.run("status")).To(Equal(10))
		Expect(s.err).To(ContainSubstring("client.inix"))
	})

	It("has an exit code between 10 and 99 for every refusal", func() {
		for number := range apiv1.ResultCode_name {
			if number >= 1000 {
				Expect(ExitCode(apiv1.ResultCode(number))).To(And(BeNumerically(">=", 10), BeNumerically("<", 100)))
			}
		}
	})
})

// leafName is the command's words without the program's name.
func leafName(n *kong.Node) string {
	if n.Parent == nil || n.Parent.Type == kong.ApplicationNode {
		return n.Name
	}
	return leafName(n.Parent) + " " + n.Name
}
