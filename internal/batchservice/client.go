package batchservice

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Invoker sends calls to the control leader; *session.ControlClient implements
// it. A call may be sent again after a lost response, so it must be idempotent.
type Invoker interface {
	Invoke(ctx context.Context, method string, req, resp proto.Message) error
	// Query is Invoke for a method that changes nothing.
	Query(ctx context.Context, method string, req, resp proto.Message) error
}

// Client calls the batch service at the control leader, the leader of the control
// group. Every call is idempotent. Errors are *result.Error; OUTCOME_UNKNOWN means
// that the call may have been carried out.
type Client struct {
	control   Invoker
	announcer announcer
	// reportTo is the address for later announcements of a minion, empty for any.
	reportTo string
}

// NewClient returns a client that sends its calls through control.
func NewClient(control Invoker) *Client { return NewReplicaClient(control, "") }

// NewReplicaClient is like NewClient, for a process at reportTo that takes announcements
// of minions.
func NewReplicaClient(control Invoker, reportTo string) *Client {
	return &Client{control: control, announcer: announcer{control: control}, reportTo: reportTo}
}

// Submit submits a job under the id that the call's path names.
func (c *Client) Submit(ctx context.Context, call *apiv1.QueueCall, job *apiv1.BatchJob) error {
	return c.control.Invoke(ctx, MethodSubmit, &apiv1.SubmitBatchRequest{Call: call, Job: job}, &apiv1.SubmitBatchResponse{})
}

// Get returns the state of the job that the call's path names, or the number of
// waiting jobs if the path names only a queue.
func (c *Client) Get(ctx context.Context, call *apiv1.QueueCall) (*apiv1.GetBatchResponse, error) {
	resp := &apiv1.GetBatchResponse{}
	return resp, c.control.Query(ctx, MethodGet, &apiv1.GetBatchRequest{Call: call}, resp)
}

// Cancel cancels the job that the call's path names.
func (c *Client) Cancel(ctx context.Context, call *apiv1.QueueCall) error {
	return c.control.Invoke(ctx, MethodCancel, &apiv1.CancelBatchRequest{Call: call}, &apiv1.Empty{})
}

// PutCatalog publishes a catalog, the batch configuration of queues, pools and
// client accounts. A version that is not higher than the one in force is
// ignored without an error.
func (c *Client) PutCatalog(ctx context.Context, catalog *apiv1.Catalog) error {
	return c.control.Invoke(ctx, MethodPutCatalog, &apiv1.PutCatalogRequest{Catalog: catalog}, &apiv1.Empty{})
}

// GetCatalog returns the version and source of the catalog in force. It fails
// until one has been published.
func (c *Client) GetCatalog(ctx context.Context) (*apiv1.GetCatalogResponse, error) {
	resp := &apiv1.GetCatalogResponse{}
	return resp, c.control.Query(ctx, MethodGetCatalog, &apiv1.GetCatalogRequest{}, resp)
}

// SetZone takes an availability zone out of service, or back in if out is false.
func (c *Client) SetZone(ctx context.Context, zone string, out bool) error {
	return c.control.Invoke(ctx, MethodSetZone, &apiv1.SetZoneService{AvailabilityZone: zone, Out: out}, &apiv1.Empty{})
}

// StartWave starts a maintenance wave, which takes each of a set of machines out of
// operation once.
func (c *Client) StartWave(ctx context.Context, req *apiv1.StartWaveRequest) error {
	return c.control.Invoke(ctx, MethodStartWave, req, &apiv1.Empty{})
}

// WaveCompleted reports whether the maintenance of every machine of a wave is
// over: finished, or the machine is gone. An unknown wave is an error.
func (c *Client) WaveCompleted(ctx context.Context, number uint64) (bool, error) {
	resp := &apiv1.GetWaveResponse{}
	err := c.control.Query(ctx, MethodGetWave, &apiv1.GetWaveRequest{Number: number}, resp)
	return resp.Completed, err
}

// Announce forwards a minion's announcement, which describes the minion and its
// state, and returns the address to which the minion sends later announcements: this
// process, so that all replicas share the work.
func (c *Client) Announce(ctx context.Context, req *apiv1.AnnounceMinionRequest) (string, error) {
	return c.reportTo, c.announcer.announce(ctx, req)
}
