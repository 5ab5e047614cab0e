package core

// session is an owner's conversation with a side scheduler. A report that was delayed on its way, by a partition after
// which its sender has retried, is of an earlier session or not above the last sequence number. It must not be applied: by
// it a worker that has crashed would seem to be back in place of its next incarnation.
type session struct {
	name         string
	lastSequence int64 // of the reports that were admitted
}

// sessions are an owner's conversations, by the address of the side scheduler.
type sessions map[string]*session

// admit reports whether a report is the newest of the current session, and returns the session for the sender's next.
func (s sessions) admit(side, name string, sequence int64) (string, bool) {
	known := s[side]
	if known == nil || name != known.name {
		known = &session{name: newID()}
		s[side] = known
		return known.name, false
	}
	if sequence <= known.lastSequence {
		return known.name, false
	}
	known.lastSequence = sequence
	return known.name, true
}
