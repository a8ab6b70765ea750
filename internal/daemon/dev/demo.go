package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const retryInterval = 100 * time.Millisecond

// runDemo publishes a configuration, sends one request and runs one job. With
// Stay it then prints the addresses and waits until ctx ends.
func runDemo(ctx context.Context, env *environment, o Options) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	objectSet, credential := demoObjects()
	if err := publish(ctx, env, objectSet, o.Out); err != nil {
		return err
	}
	if err := sendRequest(ctx, env, credential, o.Out); err != nil {
		return err
	}
	if err := runJob(ctx, env, credential, o.Out); err != nil {
		return err
	}
	if !o.Stay {
		return nil
	}
	fmt.Fprintf(o.Out, "callers    http://%s  (Authorization: Bearer %s)\n", env.entry.CallerAddress, credential)
	fmt.Fprintf(o.Out, "operators  http://%s  (Authorization: Bearer %s)\n", env.control.OperatorAddress, env.operatorCredential)
	fmt.Fprintf(o.Out, "targets    http://%s\n", env.entry.TargetAddress)
	fmt.Fprintf(o.Out, "state      http://%s/debug/state  http://%s/debug/state\n", env.control.AdminAddress, env.entry.AdminAddress)
	<-ctx.Done()
	return nil
}

func publish(ctx context.Context, env *environment, objectSet *apiv1.ObjectSet, out io.Writer) error {
	reply := &apiv1.PublishReply{}
	req := &apiv1.PublishConfig{RequestId: uuid.NewString(), Objects: objectSet, Comment: "bergamot-dev"}
	err := retry(ctx, func() error {
		return callJSON(ctx, http.MethodPost, "http://"+env.control.OperatorAddress+"/v1/config/publish", env.operatorCredential, req, reply)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "published  version %d, in force everywhere: %v\n", reply.Version, reply.InForce)
	return nil
}

func sendRequest(ctx context.Context, env *environment, credential string, out io.Writer) error {
	url := "http://" + env.entry.CallerAddress + "/v1/services/" + serviceName + "/warnings"
	id := uuid.Must(uuid.NewV7()).String()
	return retry(ctx, func() error {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("heat warning for ward 3")))
		if err != nil {
			return err
		}
		r.Header.Set("Authorization", "Bearer "+credential)
		r.Header.Set("Bergamot-Queue", requestQueue)
		r.Header.Set("Idempotency-Key", id)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("request: %d %s", resp.StatusCode, body)
		}
		fmt.Fprintf(out, "request    %s answered %d with %q\n", id, resp.StatusCode, body)
		return nil
	})
}

func runJob(ctx context.Context, env *environment, credential string, out io.Writer) error {
	base := "http://" + env.entry.CallerAddress + "/v1/jobs"
	job := &apiv1.Job{}
	submit := &apiv1.SubmitJob{
		JobId: uuid.Must(uuid.NewV7()).String(), Queue: jobQueue, Repeatable: true, DeclaredRunMs: 500,
		Resources: &apiv1.Resources{CpuMillis: 1000, MemoryMb: 512},
		Payload:   []byte(`{"run_ms":500}`),
	}
	err := retry(ctx, func() error { return callJSON(ctx, http.MethodPost, base, credential, submit, job) })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "job        %s submitted\n", job.JobId)
	err = retry(ctx, func() error {
		if err := callJSON(ctx, http.MethodGet, base+"/"+submit.JobId, credential, nil, job); err != nil {
			return err
		}
		if job.State != apiv1.JobState_JOB_STATE_DONE {
			return fmt.Errorf("job %s is %v", job.JobId, job.State)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "job        %s done, lease epoch %d\n", job.JobId, job.Epoch)
	return nil
}

// retry repeats fn until it succeeds, for at most startTimeout: after the start
// it takes a moment to elect a leader and to receive the first announcements.
func retry(ctx context.Context, fn func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("gave up after %v: %w", startTimeout, err)
		case <-time.After(retryInterval):
		}
	}
}

// callJSON sends an HTTP request with req as its JSON body, if req is not nil,
// and decodes the response into resp. A status other than 2xx is an error.
func callJSON(ctx context.Context, method, url, credential string, req, resp proto.Message) error {
	var body io.Reader = http.NoBody
	if req != nil {
		data, err := protojson.Marshal(req)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+credential)
	httpResp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer httpResp.Body.Close()
	data, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return err
	}
	if httpResp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %d %s", url, httpResp.StatusCode, data)
	}
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, resp)
}
