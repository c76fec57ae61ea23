package remote

import (
	"context"

	glade "indigoglade"
)

// Empty is an empty message.
type Empty struct{}

// HostCall is a command to a worker host. Each path uses the fields it needs.
type HostCall struct {
	Host       glade.Host    `json:"host"`
	Epoch      uint64        `json:"epoch"`
	Service    glade.Service `json:"service"`
	Task       glade.Task    `json:"task"`
	TaskID     string        `json:"id"`
	Checkpoint bool          `json:"checkpoint"`
	Cores      int           `json:"cores"`
}

// List reads the platform's host list.
func (c *Client) List(ctx context.Context) ([]glade.HostListing, error) {
	return call[Empty, []glade.HostListing](ctx, c, "/hosts", Empty{})
}

// State asks a worker for its state.
func (c *Client) State(ctx context.Context, host glade.Host) (glade.WorkerState, error) {
	return call[HostCall, glade.WorkerState](ctx, c, "/worker/state", HostCall{Host: host})
}

// Drain makes a host refuse new work.
func (c *Client) Drain(ctx context.Context, host glade.Host, epoch uint64) error {
	_, err := call[HostCall, Empty](ctx, c, "/worker/drain", HostCall{Host: host, Epoch: epoch})
	return err
}

// Reboot restarts an idle host.
func (c *Client) Reboot(ctx context.Context, host glade.Host, epoch uint64, service glade.Service) error {
	_, err := call[HostCall, Empty](ctx, c, "/worker/reboot", HostCall{Host: host, Epoch: epoch, Service: service})
	return err
}

// Start starts a task.
func (c *Client) Start(ctx context.Context, host glade.Host, epoch uint64, task glade.Task) error {
	_, err := call[HostCall, Empty](ctx, c, "/worker/start", HostCall{Host: host, Epoch: epoch, Task: task})
	return err
}

// Stop ends a task, with a checkpoint if asked for.
func (c *Client) Stop(ctx context.Context, host glade.Host, task string, checkpoint bool) error {
	_, err := call[HostCall, Empty](ctx, c, "/worker/stop", HostCall{Host: host, TaskID: task, Checkpoint: checkpoint})
	return err
}

// Throttle limits a running task to a number of cores.
func (c *Client) Throttle(ctx context.Context, host glade.Host, task string, cores int) error {
	_, err := call[HostCall, Empty](ctx, c, "/worker/throttle", HostCall{Host: host, TaskID: task, Cores: cores})
	return err
}

// Tasks reports the tasks of a host.
func (c *Client) Tasks(ctx context.Context, host glade.Host) ([]glade.TaskState, error) {
	return call[HostCall, []glade.TaskState](ctx, c, "/worker/tasks", HostCall{Host: host})
}
