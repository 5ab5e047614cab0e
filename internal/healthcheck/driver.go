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

// Check is a member that is to be checked.
type Check struct {
	Name          string // for the log: BACKEND/MEMBER
	Addr          string // IP address and port
	Spec          Spec   // after SetDefaults
	InitiallyDown bool   // its state before the first check
	// OnChange is called from a goroutine of its own when the member's state changes.
	OnChange func(up bool, why string)
}

// Driver checks members, each at its own intervals with jitter, and at most maxConcurrentChecks at a time.
type Driver struct {
	log   *slog.Logger
	slots chan struct{}  // one held for each check in flight
	rand  func() float64 // from 0 up to 1, for the jitter of the intervals
}

// maxConcurrentChecks bounds the checks in flight, and so their descriptors.
const maxConcurrentChecks = 32

// maxResponseBody bounds what is read of a response's body, in bytes.
const maxResponseBody = 64 << 10

// NewDriver returns a Driver.
func NewDriver(log *slog.Logger) *Driver {
	return &Driver{log: log, slots: make(chan struct{}, maxConcurrentChecks), rand: rand.Float64}
}

// Run checks members until the context ends.
func (d *Driver) Run(ctx context.Context, all []Check) {
	var wg sync.WaitGroup
	for i, c := range all {
		wg.Go(func() {
			// The first checks are spread over their interval, so that they do not coincide.
			d.watch(ctx, c, time.Duration(float64(c.Spec.Interval)*float64(i)/float64(len(all))))
		})
	}
	wg.Wait()
}

// watch checks one member until the context ends. The first check comes after a delay.
func (d *Driver) watch(ctx context.Context, c Check, first time.Duration) {
	t := NewTarget(c.Spec, !c.InitiallyDown)
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
			why := "its checks pass"
			if err != nil {
				why = err.Error()
			}
			d.log.Warn("server health changed", "server", c.Name, "up", t.Up(), "why", why)
			c.OnChange(t.Up(), why)
		}
		timer.Reset(time.Duration(float64(t.NextInterval()) * (0.95 + 0.1*d.rand())))
	}
}

// probe makes one check. The error says why it failed.
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
		return fmt.Errorf("the response, status %d, is not as expected", status)
	}
	return nil
}

// request returns the bytes of an http check's request.
func (s *Spec) request() []byte {
	b := fmt.Appendf(nil, "%s %s HTTP/%s\r\n", s.Method, s.URI, s.Version)
	for _, h := range s.Headers {
		b = http1.AppendField(b, h.Name, h.Value)
	}
	return append(b, "Connection: close\r\n\r\n"...)
}

var errTruncated = errors.New("the response is truncated")

// readResponse reads a response; of a long body only the first maxResponseBody bytes.
func readResponse(r io.Reader) (status int, body []byte, err error) {
	p := http1.NewParser(http1.Response)
	buf := make([]byte, 0, 4096)
	for {
		n, ev, part, err := p.Next(buf)
		if err != nil {
			return 0, nil, err
		}
		if ev == http1.Body && len(body) < maxResponseBody {
			body = append(body, part...)
		}
		buf = append(buf[:0], buf[n:]...)
		switch {
		case ev == http1.Ended && p.Head.Status >= 200, len(body) >= maxResponseBody:
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
