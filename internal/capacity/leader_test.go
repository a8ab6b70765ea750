package capacity

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

// BenchmarkRenewal measures one session renewal over rpc, without the long
// poll: client and leader together, in processor time and bytes of the TCP
// payload of both directions.
func BenchmarkRenewal(b *testing.B) {
	for _, sessions := range []int{8, 32, 64} {
		b.Run(fmt.Sprint("sessions=", sessions), func(b *testing.B) {
			node := newNode(b, 46)
			requests := openSessions(b, node, sessions)
			client, w := serveLeader(b, node)
			call(b, client, w, "Control.RenewSession", requests[0], &apiv1.SessionRenewal{})
			before, used, i := w.bytes.Load(), cpu(), 0
			for b.Loop() {
				call(b, client, w, "Control.RenewSession", requests[i%sessions], &apiv1.SessionRenewal{})
				i++
			}
			b.ReportMetric(float64(cpu()-used)/float64(i), "cpu-ns/op")
			b.ReportMetric(float64(w.bytes.Load()-before)/float64(i), "wire-bytes/op")
			b.ReportMetric(float64(proto.Size(requests[0])), "message-bytes")
		})
	}
}

// openSessions returns a renewal for each session; the old view version makes
// the leader answer at once.
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

func call(b *testing.B, client *rpc.Client, w *wire, method string, req, resp proto.Message) {
	if err := client.Call(b.Context(), w.Addr().String(), method, req, resp); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkLeaderSecond measures the leader for one second: each worker sends
// one heartbeat with two leases, in batches as 8 entries make them. The
// figures include the leader's own loops and the client side of the calls.
// Run it with a fixed count (-benchtime 3x).
func BenchmarkLeaderSecond(b *testing.B) {
	for _, workers := range []int{200, 3200} {
		for _, quiet := range []bool{true, false} {
			b.Run(fmt.Sprintf("workers=%d/quiet=%v", workers, quiet), func(b *testing.B) {
				leaderSecond(b, workers, quiet)
			})
		}
	}
}

func leaderSecond(b *testing.B, workers int, quiet bool) {
	node := newNode(b, 460)
	node.observe(b, workers)
	node.submit(b, 2*workers, workers)
	node.place(b, workers, 2)
	client, w := serveLeader(b, node)
	batches := makeBatches(workers)
	sendSecond(b, client, w, batches)
	before, used := w.bytes.Load(), cpu()
	b.ResetTimer()
	for range b.N {
		if quiet {
			time.Sleep(time.Second)
			continue
		}
		sendSecond(b, client, w, batches)
	}
	b.ReportMetric(float64(cpu()-used)/1e6/float64(b.N), "cpu-ms/s")
	b.ReportMetric(float64(w.bytes.Load()-before)/float64(b.N)/float64(workers), "wire-bytes/worker-s")
}

// makeBatches makes one second's batches: 8 entries, one each 200 ms.
func makeBatches(workers int) []*apiv1.WorkerBatch {
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

func sendSecond(b *testing.B, client *rpc.Client, w *wire, batches []*apiv1.WorkerBatch) {
	ticker := time.NewTicker(time.Second / time.Duration(len(batches)))
	defer ticker.Stop()
	for _, batch := range batches {
		<-ticker.C
		call(b, client, w, "Control.ReportWorkers", batch, &apiv1.WorkerBatchReply{})
	}
}
