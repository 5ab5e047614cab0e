package core

// session is an owner's conversation with a side scheduler. A report that was held up on its way, behind a cut that its
// sender has long given up on, is of an earlier session or not above the last sequence number; it must not be taken
// for news, since by it a worker that has crashed would seem to be there again in place of the one that is.
type session struct {
	name         string
	lastSequence int64
}

// sessions are an owner's conversations, by the address of the side scheduler.
type sessions map[string]*session

// admit reports whether a report is the newest of the current session. Otherwise the sender gets a session for its next.
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
