package upstream

const (
	decayPerSweep   = 0.95 // factor at each sweep
	minBrokenReused = 1.5  // broken reused connections from which on they may be avoided
	minBreakRatio   = 3    // how much more often reused connections must break than new ones
	priorNewConns   = 20   // new connections, one of them broken, that are added to those counted (smoothing)
)

// connStats counts attempts on connections, and those whose connection broke before any byte of the answer. The counts
// decay exponentially.
type connStats struct{ used, broken float64 }

func (s *connStats) decay() { s.used, s.broken = s.used*decayPerSweep, s.broken*decayPerSweep }

// reusedConnsBreak reports whether reused connections break under the next request, and far more often than new ones do.
func (p *Pool) reusedConnsBreak() bool {
	return p.reusedConns.broken >= minBrokenReused &&
		p.reusedConns.broken/p.reusedConns.used > minBreakRatio*(p.newConns.broken+1)/(p.newConns.used+priorNewConns)
}
