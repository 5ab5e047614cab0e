package upstream

const (
	decayPerSweep   = 0.95 // factor by which counts decay at each sweep
	minBrokenReused = 1.5  // decayed count of broken reused connections below which they are not avoided
	minBreakRatio   = 3    // factor by which reused connections must break more often than new ones
	priorNewConns   = 20   // prior for smoothing: so many new connections, of which one is broken, are added to the counts
)

// connStats counts the calls on connections, and those whose connection broke before the first byte of the response. The
// counts decay exponentially.
type connStats struct{ used, broken float64 }

func (s *connStats) decay() { s.used, s.broken = s.used*decayPerSweep, s.broken*decayPerSweep }

// reusedConnsBreak reports whether reused connections break significantly more often than new ones.
func (p *Pool) reusedConnsBreak() bool {
	return p.reusedConns.broken >= minBrokenReused &&
		p.reusedConns.broken/p.reusedConns.used > minBreakRatio*(p.newConns.broken+1)/(p.newConns.used+priorNewConns)
}
