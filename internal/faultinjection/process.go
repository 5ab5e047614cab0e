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

// serveFileVariable is the environment variable with the path of the operator's file, in a test binary that is to be a scheduler.
const serveFileVariable = "SEDGEVALE_RIG_SERVE"

// ServeIfChild runs a scheduler and never returns, if this process was started by Command. TestMain has to call it.
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

// Command returns the command that runs this test binary as a scheduler with an operator's file, with TMPDIR set to dir and its
// log going to log. The process ends with this one.
func Command(file, dir string, log io.Writer) *exec.Cmd {
	c := exec.CommandContext(context.Background(), os.Args[0])
	c.Env = append(os.Environ(), serveFileVariable+"="+file, "TMPDIR="+dir)
	c.Stderr = log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// AwaitReady waits until a scheduler is ready at an address. It is an error if that takes longer than 20 s.
func AwaitReady(listen string) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if status, _, err := httpGet("http://" + listen + "/ready"); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the scheduler at %s does not get ready", listen)
}

// httpGet returns the status and the first mebibyte of an answer.
func httpGet(url string) (status int, body []byte, err error) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(answer.Body, 1<<20))
	return answer.StatusCode, body, err
}
