package faultinjection

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"sedgevale/internal/fake"
)

// Team is one of those who share the boxes: a realm of the settings.
type Team struct {
	Name  string
	Share float64
	Quota float64 // jobs a second; 0: not told
}

// Configuration is what changes in schedulers' files while they serve.
type Configuration struct {
	Revision int // 0: none is told
	Teams    []Team
}

// File returns the text of the scheduler's file by a configuration.
func (s *Scheduler) File(c Configuration) []byte { return s.text(c) }

// Replace replaces the scheduler's file at once, so that no reader finds part of it.
func (s *Scheduler) Replace(text []byte) error {
	next := s.file + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, s.file)
}

// Hangup has the scheduler read its file again. One that is down or being started is told when it is up: until it has
// asked for the signal, that would end it.
func (s *Scheduler) Hangup() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		s.owed = true
		return nil
	}
	return s.cmd.Process.Signal(syscall.SIGHUP)
}

// settle notes that the scheduler is up, and tells it what it has missed.
func (s *Scheduler) settle() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = true
	if !s.owed {
		return nil
	}
	s.owed = false
	return s.cmd.Process.Signal(syscall.SIGHUP)
}

// Reconfigure replaces the files of some schedulers and has them read again.
func (r *Rig) Reconfigure(c Configuration, schedulers ...*Scheduler) error {
	for _, s := range schedulers {
		if err := s.Replace(s.File(c)); err != nil {
			return err
		}
		if err := s.Hangup(); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

// Logged returns how many bytes the scheduler's log has, over all its processes.
func (s *Scheduler) Logged() (int64, error) {
	info, err := os.Stat(s.log.Name())
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// AwaitLog returns the first line of the log with a text in it that comes after so many bytes.
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

// Post hands one job in and returns what was told of it. Its id must begin with the scheduler's name and a hyphen.
func (s *Scheduler) Post(ctx context.Context, id, class, team string, timeout time.Duration) fake.Told {
	t := fake.Told{Job: id, Class: class, Asked: time.Now()}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Listen+"/"+class, strings.NewReader("job "+id))
	if err != nil {
		return t
	}
	q.GetBody = nil // else the library sends it again by itself
	q.Close = true
	q.Header.Set("Request-Id", id)
	q.Header.Set("Tenant", team)
	q.Header.Set("Request-Timeout", fmt.Sprintf("%dm", timeout.Milliseconds()))
	return t.Do(http.DefaultClient, q)
}

// Crowd is clients of some schedulers, all of the same teams.
type Crowd struct {
	Schedulers     []*Scheduler
	Teams          []string
	Label          string // of their jobs' ids, behind the scheduler's name
	Clients        int    // of each scheduler
	Think, Timeout time.Duration
}

// Run runs the crowd's clients until the context ends and returns what they were told.
func (r *Rig) Run(ctx context.Context, c Crowd) []fake.Told {
	var mu sync.Mutex
	var all []fake.Told
	var wg sync.WaitGroup
	for i, s := range c.Schedulers {
		wg.Go(func() {
			told := fake.Clients{Target: s.Listen, Number: c.Clients, Tenants: c.Teams, Think: c.Think, Timeout: c.Timeout,
				Prefix: s.Name + c.Label, Seed: r.opt.Seed*31 + uint64(i), Mix: Mix}.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, told...)
		})
	}
	wg.Wait()
	return all
}

// Load runs clients of each scheduler and of both co-ops until the context ends and returns what they were told.
func (r *Rig) Load(ctx context.Context, clients int, think, timeout time.Duration) []fake.Told {
	return r.Run(ctx, Crowd{Schedulers: r.Schedulers, Teams: []string{"valley", "east"}, Clients: clients, Think: think, Timeout: timeout})
}
