package faultinjection

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"sedgevale/scheduler"
)

// serveFileVariable is the environment variable that makes a test binary run as a scheduler; its value is the path of the operator's
// file.
const serveFileVariable = "SEDGEVALE_RIG_SERVE"

// ServeIfChild runs a scheduler and never returns if this process was started by Command. TestMain must call it.
func ServeIfChild() {
	path := os.Getenv(serveFileVariable)
	if path == "" {
		return
	}
	read := func() (*scheduler.Config, error) { return scheduler.ReadFile(path) }
	if err := scheduler.Serve(read, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// Command returns a command that runs this test binary as a scheduler with an operator's file, with TMPDIR set to dir and the log
// written to log. The kernel kills the process when its parent dies.
func Command(file, dir string, log io.Writer) *exec.Cmd {
	c := exec.CommandContext(context.Background(), os.Args[0])
	c.Env = append(os.Environ(), serveFileVariable+"="+file, "TMPDIR="+dir)
	c.Stderr = log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// AwaitReady waits until the scheduler at an address is ready, or returns an error after 20 s.
func AwaitReady(listen string) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if status, _, err := httpGet("http://" + listen + "/ready"); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the scheduler at %s is not ready after 20 s", listen)
}

// httpGet sends a GET request and returns the status and at most the first 1 MiB of the body.
func httpGet(url string) (status int, body []byte, err error) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, body, err
}
