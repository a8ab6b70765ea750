package batchservice

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Invoker makes calls to the leader of the control group;
// *session.ControlClient implements it.
type Invoker interface {
	Invoke(ctx context.Context, method string, req, resp proto.Message) error
}

// Client calls the batch service. Every call may be repeated without harm.
// Errors are *result.Error; OUTCOME_UNKNOWN means that the call may have been
// carried out.
type Client struct{ control Invoker }

// NewClient returns a client over a connection to the control group.
func NewClient(control Invoker) *Client { return &Client{control: control} }

// Submit submits a job under the id that the call's path ends with.
func (c *Client) Submit(ctx context.Context, call *apiv1.QueueCall, job *apiv1.BatchJob) error {
	return c.control.Invoke(ctx, MethodSubmit, &apiv1.SubmitBatchRequest{Call: call, Job: job}, &apiv1.SubmitBatchResponse{})
}

// Get returns the state of a job, or of its queue.
func (c *Client) Get(ctx context.Context, call *apiv1.QueueCall) (*apiv1.GetBatchResponse, error) {
	resp := &apiv1.GetBatchResponse{}
	return resp, c.control.Invoke(ctx, MethodGet, &apiv1.GetBatchRequest{Call: call}, resp)
}

// Cancel ends a job.
func (c *Client) Cancel(ctx context.Context, call *apiv1.QueueCall) error {
	return c.control.Invoke(ctx, MethodCancel, &apiv1.CancelBatchRequest{Call: call}, &apiv1.Empty{})
}

// PutCatalog publishes a catalog, the batch configuration of queues, pools and
// client accounts. A version that is not higher than the one in force changes
// nothing.
func (c *Client) PutCatalog(ctx context.Context, catalog *apiv1.Catalog) error {
	return c.control.Invoke(ctx, MethodPutCatalog, &apiv1.PutCatalogRequest{Catalog: catalog}, &apiv1.Empty{})
}

// GetCatalog returns the catalog in force.
func (c *Client) GetCatalog(ctx context.Context) (*apiv1.GetCatalogResponse, error) {
	resp := &apiv1.GetCatalogResponse{}
	return resp, c.control.Invoke(ctx, MethodGetCatalog, &apiv1.GetCatalogRequest{}, resp)
}

// SetZone takes an availability zone out of service, or back into service.
// Running tasks stay in a zone that is out; it only gets no new work.
func (c *Client) SetZone(ctx context.Context, zone string, out bool) error {
	return c.control.Invoke(ctx, MethodSetZone, &apiv1.SetZoneService{AvailabilityZone: zone, Out: out}, &apiv1.Empty{})
}

// StartWave starts a maintenance wave: the maintenance of a list of machines.
func (c *Client) StartWave(ctx context.Context, req *apiv1.StartWaveRequest) error {
	return c.control.Invoke(ctx, MethodStartWave, req, &apiv1.Empty{})
}

// WaveCompleted reports whether the maintenance of every machine of a wave is
// over: it is finished, or the machine has left the fleet.
func (c *Client) WaveCompleted(ctx context.Context, number uint64) (bool, error) {
	resp := &apiv1.GetWaveResponse{}
	err := c.control.Invoke(ctx, MethodGetWave, &apiv1.GetWaveRequest{Number: number}, resp)
	return resp.Completed, err
}

// Announce passes on a minion's announcement, its report about itself, and
// returns the address that takes later ones.
func (c *Client) Announce(ctx context.Context, req *apiv1.AnnounceMinionRequest) (string, error) {
	resp := &apiv1.AnnounceMinionResponse{}
	err := c.control.Invoke(ctx, MethodAnnounce, req, resp)
	return resp.ReportTo, err
}
