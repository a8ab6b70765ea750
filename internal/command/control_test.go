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

// newHarnessWithControlReplica returns a harness with a real control replica
// instead of the fake. No entry process has a session.
func newHarnessWithControlReplica() *harness {
	h := newHarness()
	dir := GinkgoT().TempDir()
	line, secret := operator.NewKeyLine("ada")
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	conf := &apiv1.ControlSettings{
		ProcessId: "control-1", AvailabilityZone: "north-a", DataFolder: filepath.Join(dir, "data"), Bootstrap: true,
		RpcAddress: freeAddress(), OperatorAddress: freeAddress(), AdminAddress: freeAddress(),
		ClusterSecretFile: writeFile("cluster.secret", "secret-of-the-test-cluster"), OperatorKeysFile: writeFile("operator-keys", line+"\n"),
		HeartbeatIntervalMs: 20, ElectionTimeoutMs: 100, SessionTtlMs: 2000, SessionMarginMs: 250, LeaseTtlMs: 2000,
		SnapshotEntries: 1000, LogLevel: "error",
	}
	conf.ControlAddresses = []string{conf.RpcAddress}
	daemon, err := control.Start(conf)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(daemon.Stop)
	h.settings = writeFile("client.ini", "[client]\noperator_addresses = "+conf.OperatorAddress+"\noperator_name = ada\noperator_key_file = "+
		writeFile("ada.key", secret)+"\ntimeout = 30s\n")
	return h
}

// freeAddress returns a loopback address with a port that was free just now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

var _ = Describe("with a real control replica", func() {
	// Guards against a client and a server that work with the fake but not with
	// each other. They must agree on paths, JSON, result codes and what an edit
	// publishes.
	It("publishes, edits, refuses and reports", func() {
		h := newHarnessWithControlReplica()
		h.publishFirstVersion()
		h.mustRun("zone", "out", "north-b", "--comment", "cooling fault")
		Expect(h.out).To(Equal("version 2 is in force\n"))
		Expect(h.run("publish", h.folder)).To(Equal(41), "the folder is based on version 1")
		h.mustRun("get", h.folder, "--force")
		h.mustRun("diff", h.folder)
		Expect(h.out).To(Equal("no difference from version 2\n"))
		h.mustRun("key", "issue", "city-2", "--account", "city-homes")
		h.mustRun("key", "withdraw", "city-2")
		h.mustRun("maintenance", "plan", "kernel", "--pool", "heat-alerts")
		h.mustRun("maintenance", "start", "kernel")
		h.mustRun("history")
		Expect(h.out).To(MatchRegexp(`(?m)^6 +\S+ +ada +start maintenance kernel$`))
		Expect(h.out).To(MatchRegexp(`(?m)^2 +\S+ +ada +cooling fault$`))

		h.mustRun("status", "-o", "json")
		var status apiv1.StatusReport
		Expect(protojson.Unmarshal([]byte(h.out), &status)).To(Succeed())
		Expect(status.ConfigVersion).To(BeEquivalentTo(6))
		Expect([]int{len(status.ControlReplicas), len(status.Pools), len(status.Zones), len(status.Teams)}).To(Equal([]int{1, 5, 3, 7}))
		h.mustRun("check", h.folder, "--server")
		Expect(h.out).To(ContainSubstring("0 errors, 3 warnings"), "no VM and no entry is in any zone")

		h.mustRun("jobs", "list")
		Expect(h.out).To(Equal("none\n"))
		Expect(h.run("jobs", "show", "j1")).To(Equal(63))
		Expect(h.run("explain", "vm", "h-1")).To(Equal(19))
		Expect(h.run("control", "replace", "1", "2", "127.0.0.1:9")).To(Equal(19))
		h.mustRun("dump")
		Expect(json.Valid([]byte(h.out))).To(BeTrue())
		Expect(h.run("get", "--version", "99")).NotTo(Equal(0))
	})

	It("rejects a wrong secret", func() {
		h := newHarnessWithControlReplica()
		path := filepath.Join(filepath.Dir(h.settings), "ada.key")
		Expect(os.WriteFile(path, []byte(strings.Repeat("x", 43)), 0o600)).To(Succeed())
		Expect(h.run("status")).To(Equal(11))
	})
})
