package fakes

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// synctestClock reads the fake time of the synctest bubble.
type synctestClock struct{ start time.Time }

func (c synctestClock) Now() time.Duration { return time.Since(c.start) }

// entryTransport is an http.RoundTripper that responds to heartbeats with the
// function's result, without a network.
type entryTransport func(*apiv1.WorkerHeartbeat) *apiv1.WorkerInstructions

func (e entryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(req.Body)
	hb := &apiv1.WorkerHeartbeat{}
	if err := protojson.Unmarshal(body, hb); err != nil {
		return nil, err
	}
	out, err := protojson.Marshal(e(hb))
	rec := httptest.NewRecorder()
	rec.Write(out)
	return rec.Result(), err
}

// Guards against a worker that runs a task past its lease when the entry renews
// nothing, or that repeats a report after it was acknowledged.
func TestRunStopsTasksWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var reports []apiv1.TaskEvent
		respond := func(hb *apiv1.WorkerHeartbeat) *apiv1.WorkerInstructions {
			ins := &apiv1.WorkerInstructions{LeaseTtlMs: 3000}
			for _, r := range hb.Reports {
				reports = append(reports, r.Event)
				ins.Acknowledged = append(ins.Acknowledged, &apiv1.JobEpoch{JobId: r.JobId, Epoch: r.Epoch})
			}
			for id, payload := range map[string]string{"short": `{"run_ms":200}`, "long": `{"run_ms":60000}`} {
				ins.Instructions = append(ins.Instructions, &apiv1.TaskInstruction{
					Action: apiv1.TaskAction_TASK_ACTION_START, JobId: id, Epoch: 1, Payload: []byte(payload),
				})
			}
			return ins
		}
		w := NewWorker(WorkerOptions{
			WorkerID: "w", EntryURLs: []string{"http://entry"}, Clock: synctestClock{time.Now()}, Client: &http.Client{Transport: entryTransport(respond)},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		g.Expect(w.RunLog().RunsOf("short")).To(HaveLen(1))
		g.Expect(w.RunLog().RunsOf("short")[0].Outcome).To(Equal(RunDone))
		long := w.RunLog().RunsOf("long")
		g.Expect(long).To(HaveLen(1))
		g.Expect(long[0].Outcome).To(Equal(RunLeaseLost))
		g.Expect(long[0].Ended).To(BeNumerically("<", 3*time.Second))
		running := apiv1.TaskEvent_TASK_EVENT_RUNNING
		g.Expect(reports).To(ConsistOf(running, running, apiv1.TaskEvent_TASK_EVENT_DONE))
	})
}
