package scale

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"
)

// A change of teams is in force at a process once it takes a job of a team that was not there before.
const (
	inForceFor   = 15 * time.Second // the time in which a change is to be in force everywhere
	inForceEvery = 5 * time.Millisecond
	newcomer     = "team-new"
)

// admit adds a team to the process's file and has it read that.
func (p *process) admit(size Size) error {
	p.mu.Lock()
	p.file.tail = append(bytes.Clone(p.file.tail), fmt.Sprintf("\n[[settings.realms]]\nname = %q\nshare = %g\n", newcomer, 1/float64(size.Teams))...)
	p.mu.Unlock()
	return p.change(size)
}

// takes reports whether the process takes a job of a team, by a short job under an id of its own.
func (p *process) takes(ctx context.Context, f *File, team, id string) (bool, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.listen+"/"+shortClass, nil)
	if err != nil {
		return false, err
	}
	for name, value := range map[string]string{"Request-Id": id, "Request-Class": shortClass, "Tenant": team,
		"Request-Timeout": fmt.Sprintf("%dm", max(5*time.Second, seconds(2*limitFactor*f.ShortMS/1000)).Milliseconds())} {
		q.Header.Set(name, value)
	}
	a, err := p.http.Do(q)
	if err != nil {
		return false, err
	}
	a.Body.Close()
	return a.StatusCode != http.StatusBadRequest, nil
}

// inForce adds a team to all real processes and returns after how long the slowest of them takes its jobs, from before the
// file is replaced; 0 where one of them does not within inForceFor.
func (s *stage) inForce(ctx context.Context) (slowest time.Duration, err error) {
	for _, p := range s.real {
		began := time.Now()
		if err := p.admit(s.size); err != nil {
			return 0, fmt.Errorf("real-%d: %w", p.number, err)
		}
		for n := 0; ; n++ {
			taken, err := p.takes(ctx, s.f, newcomer, fmt.Sprintf("%snew-%d", jobPrefix(p.number), n))
			if err != nil {
				return 0, fmt.Errorf("real-%d: %w", p.number, err)
			}
			took := time.Since(began)
			if taken {
				slowest = max(slowest, took)
				break
			}
			if took > inForceFor {
				return 0, nil
			}
			if !pause(ctx, inForceEvery) {
				return 0, ctx.Err()
			}
		}
	}
	return slowest, nil
}
