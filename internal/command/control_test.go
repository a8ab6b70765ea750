package command

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/daemon/control"
	"bergamotdrum.example/bergamotdrum/internal/operator"
)

// newControlShell is newShell with a real control replica instead of the
// stand-in; no entry has a session.
func newControlShell() *shell {
	s := newShell()
	dir := GinkgoT().TempDir()
	line, secret := operator.NewKeyLine("ada")
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	set := &apiv1.ControlSettings{
		ProcessId: "control-1", AvailabilityZone: "north-a", DataFolder: filepath.Join(dir, "data"), Bootstrap: true,
		RpcAddress: freeAddress(), OperatorAddress: freeAddress(), AdminAddress: freeAddress(),
		ClusterSecretFile: file("cluster.secret", "secret-of-the-test-cluster"), OperatorKeysFile: file("operator-keys", line+"\n"),
		HeartbeatIntervalMs: 20, ElectionTimeoutMs: 100, SessionTtlMs: 2000, SessionMarginMs: 250, LeaseTtlMs: 2000,
		SnapshotEntries: 1000, LogLevel: "error",
	}
	set.ControlAddresses = []string{set.RpcAddress}
	daemon, err := control.Start(set)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(daemon.Stop)
	s.settings = file("client.ini", "[client]\noperator_addresses = "+set.OperatorAddress+"\noperator_name = ada\noperator_key_file = "+
		file("ada.key", secret)+"\ntimeout = 30s\n")
	return s
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("with a real control replica", func() {
	// Guards against a client and a server that each fit the stand-in and not
	// each other: paths, JSON, codes and what an edit publishes.
	It("publishes, edits, refuses and reports", func() {
		s := newControlShell()
		s.publishFirst()
		s.mustRun("zone", "out", "north-b", "--comment", "cooling fault")
		Expect(s.out).To(Equal("version 2 is in force\n"))
		Expect(s.run("publish", s.folder)).To(Equal(41), "the folder is based on version 1")
		s.mustRun("get", s.folder, "--force")
		s.mustRun("diff", s.folder)
		Expect(s.out).To(Equal("no difference from version 2\n"))
		s.mustRun("key", "issue", "city-2", "--account", "city-homes")
		s.mustRun("key", "withdraw", "city-2")
		s.mustRun("maintenance", "plan", "kernel", "--pool", "heat-alerts")
		s.mustRun("maintenance", "start", "kernel")
		s.mustRun("history")
		Expect(s.out).To(MatchRegexp(`(?m)^6 +\S+ +ada +start maintenance kernel$`))
		Expect(s.out).To(MatchRegexp(`(?m)^2 +\S+ +ada +cooling fault$`))

		s.mustRun("status", "-o", "json")
		var status apiv1.StatusReport
		Expect(protojson.Unmarshal([]byte(s.out), &status)).To(Succeed())
		Expect(status.ConfigVersion).To(BeEquivalentTo(6))
		Expect([]int{len(status.ControlReplicas), len(status.Pools), len(status.Zones), len(status.Teams)}).To(Equal([]int{1, 5, 3, 7}))
		s.mustRun("check", s.folder, "--server")
		Expect(s.out).To(ContainSubstring("0 errors, 3 warnings"), "no VM and no entry is in any zone")

		s.mustRun("jobs", "list")
		Expect(s.out).To(Equal("none\n"))
		Expect(s.run("jobs", "show", "j1")).To(Equal(63))
		Expect(s.run("explain", "vm", "h-1")).To(Equal(19))
		Expect(s.run("control", "replace", "1", "2", "127.0.0.1:9")).To(Equal(19))
		s.mustRun("dump")
		Expect(json.Valid([]byte(s.out))).To(BeTrue())
		Expect(s.run("get", "--version", "99")).NotTo(Equal(0))
	})

	It("refuses another secret", func() {
		s := newControlShell()
		path := filepath.Join(filepath.Dir(s.settings), "ada.key")
		Expect(os.WriteFile(path, []byte(strings.Repeat("x", 43)), 0o600)).To(Succeed())
		Expect(s.run("status")).To(Equal(11))
	})
})
