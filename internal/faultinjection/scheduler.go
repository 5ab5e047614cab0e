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

// Scheduler is one process of the program.
type Scheduler struct {
	Name              string
	Listen, Ops       string                     // addresses for clients and for operators
	file              string                     // the operator's
	configurationText func(Configuration) []byte // the content of file
	discovery         *fake.Discovery
	log               *os.File

	mu            sync.Mutex // guards the fields below
	cmd           *exec.Cmd
	up            bool // it has been ready since its start, and was not killed
	hangupPending bool // it has to be signalled to reload its file once it is up
	outages       []Interval
}

// GetJSON decodes a page of the operators' address.
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

// beginOutage notes that the process does not answer from now on. The lock is held.
func (s *Scheduler) beginOutage() {
	if n := len(s.outages); n == 0 || !s.outages[n-1].To.IsZero() {
		s.outages = append(s.outages, Interval{From: time.Now()})
	}
}

// endOutage notes that the process answers again.
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

// thawGracePeriod is how long a process may need to read what arrived while it was frozen.
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

// Hangup has the scheduler reload its file. One that is not up yet is signalled later: before it handles the signal, that would
// end it.
func (s *Scheduler) Hangup() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		s.hangupPending = true
		return nil
	}
	return s.cmd.Process.Signal(syscall.SIGHUP)
}

// markUp notes that the scheduler is up, and sends it a signal that is pending.
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

// LogSize returns the size of the log of all its processes, in bytes.
func (s *Scheduler) LogSize() (int64, error) {
	info, err := os.Stat(s.log.Name())
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// AwaitLog returns the first line behind an offset of the log that contains a text, and waits for it so long.
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

// Submit submits one job and returns the answer. Its id must begin with the scheduler's name and a hyphen.
func (s *Scheduler) Submit(ctx context.Context, id, class, tenant string, timeout time.Duration) fake.Response {
	answer := fake.Response{Job: id, Class: class, SentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Listen+"/"+class, strings.NewReader("job "+id))
	if err != nil {
		return answer
	}
	request.GetBody = nil // otherwise the transport may send it again
	request.Close = true
	request.Header.Set("Request-Id", id)
	request.Header.Set("Tenant", tenant)
	request.Header.Set("Request-Timeout", fmt.Sprintf("%dm", timeout.Milliseconds()))
	return answer.Do(http.DefaultClient, request)
}
