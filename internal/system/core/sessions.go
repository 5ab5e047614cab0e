package core

// session orders the reports of one worker agent to an owner. A report that a network partition has delayed, and that the
// agent has retried meanwhile, belongs to an earlier session or has a sequence number that is not higher than the last one.
// It must not be applied: it would make a crashed worker appear alive in place of its next incarnation.
type session struct {
	name         string
	lastSequence int64 // sequence number of the last admitted report
}

// sessions holds an owner's sessions, keyed by the address of the agent.
type sessions map[string]*session

// admit reports whether a report belongs to the agent's current session and is newer than all others admitted in it. A report
// of another session is rejected and begins a new session. admit returns the session that the agent must use for its next
// report.
func (s sessions) admit(agent, name string, sequence int64) (string, bool) {
	current := s[agent]
	if current == nil || name != current.name {
		current = &session{name: newID()}
		s[agent] = current
		return current.name, false
	}
	if sequence <= current.lastSequence {
		return current.name, false
	}
	current.lastSequence = sequence
	return current.name, true
}
