package capacity

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

// BenchmarkRenewal measures one session renewal over RPC that isn't held as a
// long poll: the processor time of client and leader together, and the bytes of
// TCP payload in both directions. A session is the lease of an entry process (one
// that takes callers' requests) with the control group.
func BenchmarkRenewal(b *testing.B) {
	for _, sessions := range []int{8, 32, 64} {
		b.Run(fmt.Sprint("sessions=", sessions), func(b *testing.B) {
			node := newNode(b, 46)
			requests := openSessions(b, node, sessions)
			client, w := startLeader(b, node)
			call(b, client, w, "Control.RenewSession", requests[0], &apiv1.SessionRenewal{})
			bytesBefore, cpuBefore, i := w.bytes.Load(), cpuTime(), 0
			for b.Loop() {
				call(b, client, w, "Control.RenewSession", requests[i%sessions], &apiv1.SessionRenewal{})
				i++
			}
			b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(i), "cpu-ns/op")
			b.ReportMetric(float64(w.bytes.Load()-bytesBefore)/float64(i), "wire-bytes/op")
			b.ReportMetric(float64(proto.Size(requests[0])), "message-bytes")
		})
	}
}

// openSessions opens n sessions and returns a renewal request for each. The
// requests name an outdated version of the view, the part of the replicated
// state that entry processes receive, so that the leader answers at once and
// doesn't hold them as long polls.
func openSessions(b *testing.B, node *localNode, n int) []*apiv1.RenewSession {
	var requests []*apiv1.RenewSession
	for i := range n {
		res := node.apply(b, &apiv1.Command{Body: &apiv1.Command_OpenSession{OpenSession: &apiv1.OpenSession{
			ProcessId: fmt.Sprint("entry-", i), AvailabilityZone: fmt.Sprint("zone-", i%8), RpcAddress: "10.0.0.1:7000", Incarnation: 1 << 60,
		}}})
		requests = append(requests, &apiv1.RenewSession{
			SessionId: res.GetSession().Id, Incarnation: 1 << 60, ViewVersion: 1, ConfigVersion: 1,
		})
	}
	return requests
}

func call(b *testing.B, client *rpc.Client, w *countingListener, method string, req, resp proto.Message) {
	if err := client.Call(b.Context(), w.Addr().String(), method, req, resp); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkLeaderSecond measures the leader over one second in which each
// worker sends one heartbeat with two leases, in the batches that 8 entry
// processes would send; with quiet=true no heartbeats arrive. The results
// include the leader's own loops and the client side of the calls. Every
// iteration takes a second, so run it with a fixed count (-benchtime 3x).
func BenchmarkLeaderSecond(b *testing.B) {
	for _, workers := range []int{200, 3200} {
		for _, quiet := range []bool{true, false} {
			b.Run(fmt.Sprintf("workers=%d/quiet=%v", workers, quiet), func(b *testing.B) {
				benchmarkLeaderSecond(b, workers, quiet)
			})
		}
	}
}

func benchmarkLeaderSecond(b *testing.B, workers int, quiet bool) {
	node := newNode(b, 460)
	node.observe(b, workers)
	node.submit(b, 2*workers, workers)
	node.place(b, workers, 2)
	client, w := startLeader(b, node)
	batches := heartbeatBatches(workers)
	sendBatches(b, client, w, batches)
	bytesBefore, cpuBefore := w.bytes.Load(), cpuTime()
	b.ResetTimer()
	for range b.N {
		if quiet {
			time.Sleep(time.Second)
			continue
		}
		sendBatches(b, client, w, batches)
	}
	b.ReportMetric(float64(cpuTime()-cpuBefore)/1e6/float64(b.N), "cpu-ms/s")
	b.ReportMetric(float64(w.bytes.Load()-bytesBefore)/float64(b.N)/float64(workers), "wire-bytes/worker-s")
}

// heartbeatBatches returns the batches of one second: 8 entry processes, each
// sending one every 200 ms.
func heartbeatBatches(workers int) []*apiv1.WorkerBatch {
	batches := make([]*apiv1.WorkerBatch, 40)
	for i := range batches {
		batches[i] = &apiv1.WorkerBatch{}
	}
	for i := range workers {
		batch := batches[i%len(batches)]
		batch.Heartbeats = append(batch.Heartbeats, heartbeat(i, 2))
	}
	return batches
}

// sendBatches sends the batches at equal intervals over one second.
func sendBatches(b *testing.B, client *rpc.Client, w *countingListener, batches []*apiv1.WorkerBatch) {
	ticker := time.NewTicker(time.Second / time.Duration(len(batches)))
	defer ticker.Stop()
	for _, batch := range batches {
		<-ticker.C
		call(b, client, w, "Control.ReportWorkers", batch, &apiv1.WorkerBatchReply{})
	}
}
