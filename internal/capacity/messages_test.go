package capacity

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// BenchmarkWorkerHTTP measures one heartbeat of a worker as JSON over a
// keep-alive HTTP connection: the bytes of TCP payload in both directions, HTTP
// headers included, and the processor time of worker and server together.
func BenchmarkWorkerHTTP(b *testing.B) {
	for _, leases := range []int{0, 2, 8} {
		b.Run(fmt.Sprint("leases=", leases), func(b *testing.B) { benchmarkWorkerHTTP(b, leases) })
	}
}

func benchmarkWorkerHTTP(b *testing.B, leases int) {
	w := listen(b)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(answerHeartbeat))
	srv.Listener.Close()
	srv.Listener = w
	srv.Start()
	defer srv.Close()
	hb := heartbeat(3, leases)
	postHeartbeat(b, srv, hb)
	bytesBefore, cpuBefore, n := w.bytes.Load(), cpuTime(), 0
	for b.Loop() {
		postHeartbeat(b, srv, hb)
		n++
	}
	b.ReportMetric(float64(w.bytes.Load()-bytesBefore)/float64(n), "wire-bytes/op")
	b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(n), "cpu-ns/op")
}

// answerHeartbeat answers a heartbeat as an entry process does: it renews all
// leases and sets the same headers.
func answerHeartbeat(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	hb := &apiv1.WorkerHeartbeat{}
	if err := protojson.Unmarshal(data, hb); err != nil {
		panic(err)
	}
	body, _ := protojson.Marshal(&apiv1.WorkerInstructions{WorkerId: hb.WorkerId, LeaseTtlMs: 10_000, Renewed: hb.Leases})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Bergamot-Result", "1")
	w.Write(body)
}

func postHeartbeat(b *testing.B, srv *httptest.Server, hb *apiv1.WorkerHeartbeat) {
	body, err := protojson.Marshal(hb)
	if err != nil {
		b.Fatal(err)
	}
	resp, err := srv.Client().Post(srv.URL+"/v1/workers/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	data, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err := protojson.Unmarshal(data, &apiv1.WorkerInstructions{}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkConfiguration measures how an entry process, which takes callers'
// requests, decodes and indexes a view, the part of the control state that it
// gets, with its configuration: the size of the message, the time, and the live
// heap of the index.
func BenchmarkConfiguration(b *testing.B) {
	for _, teams := range []int{46, 460} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			node := newNode(b, teams)
			data, _ := proto.Marshal(node.view())
			heapBefore := liveHeap()
			index := decodeView(b, data)
			heap := liveHeap() - heapBefore
			for b.Loop() {
				index = decodeView(b, data)
			}
			runtime.KeepAlive(index)
			b.ReportMetric(float64(len(data)), "view-bytes")
			b.ReportMetric(float64(heap)/(1<<20), "heap-MiB")
		})
	}
}

// decodeView decodes a view and returns the index of its configuration.
func decodeView(b *testing.B, data []byte) *objects.Index {
	view := &apiv1.View{}
	if err := proto.Unmarshal(data, view); err != nil {
		b.Fatal(err)
	}
	return objects.NewIndex(view.Config.Objects)
}

// BenchmarkPublish measures the time that the state machine takes to apply the
// publishing of a configuration. Building the object set is included.
func BenchmarkPublish(b *testing.B) {
	for _, teams := range []int{46, 460} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			node, i := newNode(b, teams), uint64(1)
			for b.Loop() {
				node.publish(b, i, teams)
				i++
			}
		})
	}
}
