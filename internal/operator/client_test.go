package operator_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/operator/operatortest"
	"bergamotdrum.example/bergamotdrum/internal/publish"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/settings"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

func startReplica() (*operatortest.Replica, string) {
	control, credential, stop := operatortest.StartReplica()
	DeferCleanup(stop)
	return control, credential
}

func newClient(credential string, addresses ...string) *operator.Client {
	c, err := operator.NewClient(operator.Options{Addresses: addresses, Credential: credential, Timeout: 10 * time.Second})
	Expect(err).NotTo(HaveOccurred())
	return c
}

func objectsWithLimit(maxRunning uint32) *apiv1.ObjectSet {
	return &apiv1.ObjectSet{Limit: []*apiv1.Limit{{Name: "l", MaxRunning: maxRunning}}}
}

var _ = Describe("Client", func() {
	ctx := context.Background()

	// Guards against a publish that is applied twice after a lost reply, and
	// against a duplicate that is refused with a conflict with the first one.
	It("resends a publish with the same request id after lost answers", func() {
		control, credential := startReplica()
		control.LoseAnswers = 2
		reply, err := newClient(credential, control.Address).Publish(ctx, &apiv1.PublishConfig{RequestId: "r1", Objects: objectsWithLimit(1)})
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(reply, &apiv1.PublishReply{Version: 1, InForce: true})).To(BeTrue())
		Expect(control.Requests).To(HaveLen(3))
		Expect(control.Current().Version).To(BeEquivalentTo(1))
	})

	It("follows NOT_LEADER to the leader, and tries the next replica when the leader is not known", func() {
		leader, credential := startReplica()
		follower, _ := startReplica()
		follower.LeaderAddress = leader.Address
		noLeader, _ := startReplica()
		noLeader.LeaderAddress = "-"
		_, err := newClient(credential, noLeader.Address, follower.Address).Config(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect([]int{len(noLeader.Requests), len(follower.Requests), len(leader.Requests)}).To(Equal([]int{1, 1, 1}))
	})

	// Guards against an error that is wrongly marked as not run. The client may
	// mark it only if no attempt can have reached a replica.
	It("marks an error as not run only if no replica was reached", func() {
		control, credential := startReplica()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		unreachable := listener.Addr().String()
		Expect(listener.Close()).To(Succeed())
		newShortClient := func(addresses ...string) *operator.Client {
			c, err := operator.NewClient(operator.Options{Addresses: addresses, Credential: credential, PublishAttemptTimeout: 150 * time.Millisecond})
			Expect(err).NotTo(HaveOccurred())
			return c
		}
		cmd := &apiv1.PublishConfig{RequestId: "r1", Objects: objectsWithLimit(1)}
		_, err = newShortClient(unreachable).Publish(ctx, cmd)
		Expect(result.From(err).NotRun).To(BeTrue())
		Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_NO_QUORUM))
		control.LoseAnswers = 1
		control.BeforePublish = func(*publish.State) { control.LeaderAddress = "-" } // later attempts are refused with an error marked as not run
		_, err = newShortClient(control.Address).Publish(ctx, cmd)
		Expect(result.From(err).NotRun).To(BeFalse())
		Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN))
	})

	// Guards against a call that hangs on a stalled connection: the listener
	// accepts connections and never replies.
	It("tries the next replica after a stalled connection", func() {
		control, credential := startReplica()
		stalled, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stalled.Close)
		c, err := operator.NewClient(operator.Options{
			Addresses: []string{stalled.Addr().String(), control.Address}, Credential: credential, PublishAttemptTimeout: time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Publish(ctx, &apiv1.PublishConfig{RequestId: "r1", Objects: objectsWithLimit(1)})
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against an edit by an older client that deletes the fields it does
	// not know.
	It("refuses a configuration with unknown fields", func() {
		control, credential := startReplica()
		control.FixedReplies["/v1/config"] = &apiv1.StatusReport{ConfigVersion: 1}
		_, err := newClient(credential, control.Address).Config(ctx, 0)
		Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_INTERNAL))
		Expect(err.Error()).To(ContainSubstring("release"))
		Expect(control.Requests).To(HaveLen(1))
	})

	It("returns a refusal at once with its code", func() {
		control, credential := startReplica()
		_, err := newClient(credential, control.Address).Publish(ctx, &apiv1.PublishConfig{RequestId: "r1", Objects: objectsWithLimit(0)})
		Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_CONFIG_INVALID))
		_, err = newClient(credential+"x", control.Address).Status(ctx)
		Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED))
		Expect(control.Requests).To(HaveLen(2))
	})
})

var _ = Describe("Keys", func() {
	writeFile := func(text string, mode os.FileMode) string {
		path := filepath.Join(GinkgoT().TempDir(), "keys")
		Expect(os.WriteFile(path, []byte(text), mode)).To(Succeed())
		return path
	}

	It("accepts the secret of a line and nothing else", func() {
		line, secret := operator.NewKeyLine("ada")
		keys, problems := operator.ReadKeys(writeFile("# operators\n\n"+line+"\n", 0o600))
		Expect(problems).To(BeEmpty())
		name, err := keys.Authenticate("Bearer ada." + secret)
		Expect(err).To(BeNil())
		Expect(name).To(Equal("ada"))
		for _, header := range []string{"", "Bearer ", "Bearer ada", "Bearer ada.", "Bearer bob." + secret, "ada." + secret, "Bearer ada." + secret + "x"} {
			_, err := keys.Authenticate(header)
			Expect(err).NotTo(BeNil(), header)
			Expect(err.NotRun).To(BeTrue())
		}
	})

	It("refuses a file that others may read, and malformed lines without quoting them", func() {
		line, _ := operator.NewKeyLine("ada")
		_, problems := operator.ReadKeys(writeFile(line, 0o644))
		Expect(problems).To(HaveLen(1))
		Expect(problems[0].Fix).To(ContainSubstring("chmod 0600"))
		_, problems = operator.ReadKeys(writeFile(line+"\n"+line+"\nada\na.b"+strings.TrimPrefix(line, "ada")+"\n"+line+"00\n", 0o600))
		Expect(problems).To(HaveLen(4))
		for _, p := range problems {
			Expect(p.String()).NotTo(ContainSubstring(line[len(line)-16:]))
		}
		_, problems = operator.ReadKeys(writeFile("# none\n", 0o600))
		Expect(problems).To(HaveLen(1))
	})

	It("applies a changed file at once, and refuses everyone while it has a problem", func() {
		line, secret := operator.NewKeyLine("ada")
		path := writeFile(line, 0o600)
		var reported []settings.Problem
		file, problems := operator.OpenKeyFile(path, func(p []settings.Problem) { reported = p })
		Expect(problems).To(BeEmpty())
		header := "Bearer ada." + secret
		_, err := file.Authenticate(header)
		Expect(err).To(BeNil())
		other, _ := operator.NewKeyLine("bob")
		Expect(os.WriteFile(path, []byte(other), 0o600)).To(Succeed())
		_, err = file.Authenticate(header)
		Expect(err).NotTo(BeNil())
		Expect(reported).To(BeEmpty())
		Expect(os.WriteFile(path, []byte(line+"\nbroken\n"), 0o600)).To(Succeed())
		_, err = file.Authenticate(header)
		Expect(err).NotTo(BeNil())
		Expect(reported).To(HaveLen(1))
		_, problems = operator.OpenKeyFile(path, nil)
		Expect(problems).To(HaveLen(1))
	})

	It("reads the client's secret", func() {
		credential, problems := operator.ReadCredential("ada", writeFile("s3cr3t\n", 0o600))
		Expect(problems).To(BeEmpty())
		Expect(credential).To(Equal("ada.s3cr3t"))
		_, problems = operator.ReadCredential("ada", writeFile("two words\n", 0o600))
		Expect(problems).To(HaveLen(1))
	})
})
