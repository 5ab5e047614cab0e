package main

import (
	"io"
	"net/http"
)

// jobCmd submits, shows or cancels a job of a running system.
type jobCmd struct {
	Submit *jobSubmitCmd `arg:"subcommand:submit" help:"Submit a job."`
	Show   *jobShowCmd   `arg:"subcommand:show" help:"Show a job's state."`
	Cancel *jobCancelCmd `arg:"subcommand:cancel" help:"Cancel a job."`
}

// queueFlags select a queue of a running system by its host and path prefix, and the edge scheduler to call.
type queueFlags struct {
	Edge   string `arg:"--edge,required" placeholder:"HOST:PORT" help:"An edge scheduler."`
	Host   string `arg:"--host,required" help:"The queue's host."`
	Prefix string `arg:"--prefix,required" help:"The queue's path prefix."`
}

func (q queueFlags) call(method, id string, body io.Reader) error {
	return callHTTP(method, "http://"+q.Edge+q.Prefix+id, q.Host, "", body)
}

// jobSubmitCmd submits a job to a queue.
type jobSubmitCmd struct {
	queueFlags
	ID   string `arg:"positional,required" help:"The job's ID: 16 hexadecimal digits."`
	File string `arg:"positional" help:"The job as JSON; standard input without it."`
}

// Run sends the job and prints the response.
func (c jobSubmitCmd) Run() error {
	return withInput(c.File, func(body io.Reader) error { return c.call(http.MethodPost, c.ID, body) })
}

// jobShowCmd shows the state of a job.
type jobShowCmd struct {
	queueFlags
	ID string `arg:"positional,required" help:"The job's ID."`
}

// Run requests the job's state and prints it.
func (c jobShowCmd) Run() error { return c.call(http.MethodGet, c.ID, nil) }

// jobCancelCmd cancels a job.
type jobCancelCmd struct {
	queueFlags
	ID string `arg:"positional,required" help:"The job's ID."`
}

// Run requests the cancellation and prints the response.
func (c jobCancelCmd) Run() error { return c.call(http.MethodDelete, c.ID, nil) }
