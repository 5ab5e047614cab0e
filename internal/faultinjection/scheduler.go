package faultinjection

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"sedgevale/internal/fake"
)

// Scheduler is a scheduler of a Cluster, which runs as a process that can be restarted.
type Scheduler struct {
	Name              string
	Listen, Ops       string                     // addresses for clients and for operators
	file              string                     // path of the operator's file
	configurationText func(Configuration) []byte // returns the content of the operator's file
	discovery         *fake.Discovery
	log               *os.File

	mu            sync.Mutex // guards the fields below
	cmd           *exec.Cmd
	up            bool // the process has become ready and was not killed since
	hangupPending bool // the process must be signalled to reload its file once it is up
	outages       []Interval
}

// GetJSON decodes a JSON page from the address for operators.
func (s *Scheduler) GetJSON(path string, into any) error {
	status, body, err := httpGet("http://" + s.Ops + path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s: GET %s: status %d", s.Name, path, status)
	}
	return json.Unmarshal(body, into)
}

// beginOutage records that the process does not answer from now on. The caller holds the lock.
func (s *Scheduler) beginOutage() {
	if n := len(s.outages); n == 0 || !s.outages[n-1].To.IsZero() {
		s.outages = append(s.outages, Interval{From: time.Now()})
	}
}

// endOutage records that the process answers again.
func (s *Scheduler) endOutage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.outages); n > 0 && s.outages[n-1].To.IsZero() {
		s.outages[n-1].To = time.Now()
	}
}

// Kill ends the process with SIGKILL and waits for it.
func (s *Scheduler) Kill() {
	s.mu.Lock()
	s.beginOutage()
	s.up = false
	cmd := s.cmd
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// Freeze suspends the process until Thaw.
func (s *Scheduler) Freeze() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginOutage()
	return s.cmd.Process.Signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process. Its outage ends after thawGracePeriod.
func (s *Scheduler) Thaw() error {
	s.mu.Lock()
	err := s.cmd.Process.Signal(syscall.SIGCONT)
	s.mu.Unlock()
	time.AfterFunc(thawGracePeriod, s.endOutage)
	return err
}

// thawGracePeriod is the time that a process may need to read the data that arrived while it was frozen.
const thawGracePeriod = 300 * time.Millisecond

// ConfigurationFile returns the content of the operator's file with a configuration.
func (s *Scheduler) ConfigurationFile(c Configuration) []byte { return s.configurationText(c) }

// ReplaceFile replaces the operator's file atomically.
func (s *Scheduler) ReplaceFile(text []byte) error {
	next := s.file + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.file)
}

// Hangup makes the scheduler reload its file. If the scheduler is not up yet, the signal is sent once it is: SIGHUP terminates a
// process that has not installed its handler.
func (s *Scheduler) Hangup() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		s.hangupPending = true
		return nil
	}
	return s.cmd.Process.Signal(syscall.SIGHUP)
}

// markUp records that the scheduler is up and sends a pending SIGHUP.
func (s *Scheduler) markUp() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = true
	if !s.hangupPending {
		return nil
	}
	s.hangupPending = false
	return s.cmd.Process.Signal(syscall.SIGHUP)
}

// LogSize returns the size in bytes of the log, which all processes of the scheduler append to.
func (s *Scheduler) LogSize() (int64, error) {
	info, err := os.Stat(s.log.Name())
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// AwaitLog waits until a line after an offset of the log contains a text and returns that line. It fails after the time within.
func (s *Scheduler) AwaitLog(after int64, text string, within time.Duration) (string, error) {
	for end := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		b, err := os.ReadFile(s.log.Name())
		if err != nil {
			return "", err
		}
		for line := range bytes.Lines(b[min(after, int64(len(b))):]) {
			if bytes.Contains(line, []byte(text)) && bytes.HasSuffix(line, []byte("\n")) {
				return string(line), nil
			}
		}
		if time.Now().After(end) {
			return "", fmt.Errorf("%s: %q is not in the log after %v; see %s", s.Name, text, within, s.log.Name())
		}
	}
}

// Submit submits one job and returns the response. The ID must begin with the scheduler's name and a hyphen.
func (s *Scheduler) Submit(ctx context.Context, id, class, tenant string, timeout time.Duration) fake.Response {
	response := fake.Response{Job: id, Class: class, SentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Listen+"/"+class, strings.NewReader("job "+id))
	if err != nil {
		return response
	}
	request.GetBody = nil // otherwise the transport may send it again
	request.Close = true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Tenant", tenant)
	request.Header.Set("Request-Timeout", fmt.Sprintf("%dm", timeout.Milliseconds()))
	return response.Do(http.DefaultClient, request)
}
