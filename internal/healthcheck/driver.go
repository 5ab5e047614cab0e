package healthcheck

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"sedgevale/internal/http1"
)

// Check configures the health checks of one member.
type Check struct {
	Name          string // BACKEND/MEMBER, for the log
	Addr          string // IP address and port
	Spec          Spec   // SetDefaults must have been called
	InitiallyDown bool   // whether the member counts as down before its first check
	// OnChange is called when the state of the member changes, from the goroutine that runs its checks.
	OnChange func(up bool, reason string)
}

// Driver runs the health checks of members. Each member has its own intervals, with jitter, and at most
// maxConcurrentChecks checks run concurrently.
type Driver struct {
	log   *slog.Logger
	slots chan struct{}  // semaphore of the checks in flight
	rand  func() float64 // returns a random number in [0, 1) for the jitter of the intervals
}

// maxConcurrentChecks limits the number of checks in flight and so the file descriptors that they use.
const maxConcurrentChecks = 32

// maxResponseBodyBytes is the maximum size of the part of a response body that is examined.
const maxResponseBodyBytes = 64 << 10

// NewDriver returns a Driver that logs state changes to log.
func NewDriver(log *slog.Logger) *Driver {
	return &Driver{log: log, slots: make(chan struct{}, maxConcurrentChecks), rand: rand.Float64}
}

// Run checks members until the context is done.
func (d *Driver) Run(ctx context.Context, checks []Check) {
	var wg sync.WaitGroup
	for i, c := range checks {
		wg.Go(func() {
			// Spread the first checks over the interval so that they don't coincide.
			d.runChecks(ctx, c, time.Duration(float64(c.Spec.Interval)*float64(i)/float64(len(checks))))
		})
	}
	wg.Wait()
}

// runChecks checks one member until the context is done. The first check starts after the given delay.
func (d *Driver) runChecks(ctx context.Context, c Check, first time.Duration) {
	t := NewTracker(c.Spec, !c.InitiallyDown)
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case d.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		err := c.probe(ctx)
		<-d.slots
		if ctx.Err() != nil {
			return
		}
		if t.Record(err == nil) {
			reason := "health checks passed"
			if err != nil {
				reason = err.Error()
			}
			d.log.Warn("server health changed", "server", c.Name, "up", t.Up(), "why", reason)
			c.OnChange(t.Up(), reason)
		}
		timer.Reset(time.Duration(float64(t.NextInterval()) * (0.95 + 0.1*d.rand())))
	}
}

// probe makes one check and returns the reason for its failure, or nil if it passed.
func (c *Check) probe(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, c.Spec.Timeout)
	defer stop()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if c.Spec.Kind == "tcp" {
		return nil
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if _, err := conn.Write(c.Spec.request()); err != nil {
		return err
	}
	status, body, err := readResponse(conn)
	if err != nil {
		return err
	}
	if !c.Spec.Holds(status, body) {
		return fmt.Errorf("response with status %d does not meet the expectations of the check", status)
	}
	return nil
}

// request returns the encoded request of an HTTP check.
func (s *Spec) request() []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/%s\r\n", s.Method, s.URI, s.Version)
	for _, h := range s.Headers {
		b = http1.AppendField(b, h.Name, h.Value)
	}
	return append(b, "Connection: close\r\n\r\n"...)
}

var errTruncated = errors.New("server closed the connection before the end of the response")

// readResponse reads a response. It stops once it has read maxResponseBodyBytes of the body.
func readResponse(r io.Reader) (status int, body []byte, err error) {
	p := http1.NewParser(http1.Response)
	buf := make([]byte, 0, 4096)
	for {
		n, ev, part, err := p.Next(buf)
		if err != nil {
			return 0, nil, err
		}
		if ev == http1.Body && len(body) < maxResponseBodyBytes {
			body = append(body, part...)
		}
		buf = append(buf[:0], buf[n:]...)
		switch {
		case ev == http1.Ended && p.Head.Status >= 200, len(body) >= maxResponseBodyBytes:
			return p.Head.Status, bytes.Clone(body), nil
		case ev != http1.NeedMore:
			continue
		}
		chunk := make([]byte, 4096)
		k, err := r.Read(chunk)
		buf = append(buf, chunk[:k]...)
		if errors.Is(err, io.EOF) && k == 0 {
			if p.UntilClose() {
				return p.Head.Status, body, nil
			}
			return 0, nil, errTruncated
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return 0, nil, err
		}
	}
}
