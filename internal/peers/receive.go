package peers

import (
	"slices"
	"time"
)

// Receive handles a datagram from the member with the number from. A datagram that it rejects, with one of the Err values of this
// package, changes nothing but Counts.
func (n *Node) Receive(now time.Duration, from int, datagram []byte) error {
	err := n.receive(now, from, datagram)
	if n.Counts.Received++; err != nil {
		n.Counts.Rejected++
	}
	return err
}

func (n *Node) receive(now time.Duration, from int, datagram []byte) error {
	if from < 0 || from >= len(n.members) || from == n.options.Self {
		return ErrSender
	}
	h, body, err := n.codec.decode(datagram)
	if err != nil {
		return err
	}
	if !n.members[from].accepts(now, h) {
		return ErrStale
	}
	if m := &n.members[from]; !m.known || m.generation != h.generation {
		if m.known {
			n.dropReports(from)
		}
		*m = member{
			generation: h.generation, known: true, highestSequence: h.sequence, lowestSequence: h.sequence - initialSequenceSlack,
			windowStart: now, windowStartSequence: h.sequence - initialSequenceSlack, receivedInWindow: initialSequenceSlack - 1,
			lossRate: m.lossRate, lastSentSequence: m.lastSentSequence,
		}
	}
	n.members[from].recordReceived(now, h.sequence)
	switch h.kind {
	case kindPing, kindAck, kindPingRequest, kindIndirectAck:
		n.receiveDetectorMessage(now, from, h, body)
		return nil
	}
	n.observeAlive(now, from, h.generation, 0, false)
	if h.kind == kindEntries || h.kind == kindDigests {
		n.receiveRevisionMessage(now, from, h, body)
		return nil
	}
	for ; len(body) > 0; body = body[loadSize:] {
		key, load := decodeLoad(body)
		n.recordReport(now, uint16(from), h.sequence, key, load)
	}
	return nil
}

// accepts reports whether a datagram is not stale: of the known generation and within the sequence window, or of a later generation.
// An earlier generation is accepted only after minGenerationTimeout.
func (m *member) accepts(now time.Duration, h header) bool {
	switch {
	case !m.known:
		return true
	case h.generation == m.generation:
		return newer(h.sequence, m.lowestSequence)
	}
	return newer(h.generation, m.generation) || now-m.lastReceivedAt >= minGenerationTimeout
}

// recordReceived updates the sequence window and the loss rate for a received datagram.
func (m *member) recordReceived(now time.Duration, sequence uint16) {
	if now-m.windowStart >= sequenceWindow {
		if sent := m.highestSequence - m.windowStartSequence; sent > 0 && now-m.windowStart < 4*sequenceWindow {
			m.lossRate += lossGain * (max(0, 1-float64(m.receivedInWindow)/float64(sent)) - m.lossRate)
		}
		m.lowestSequence, m.windowStartSequence, m.windowStart, m.receivedInWindow = m.windowStartSequence, m.highestSequence, now, 0
	}
	m.receivedInWindow++
	if newer(sequence, m.highestSequence) {
		m.highestSequence = sequence
	}
	m.lastReceivedAt = now
}

// dropReports drops the reports of a member that has restarted.
func (n *Node) dropReports(from int) {
	for _, w := range n.reported {
		w.reports = slices.DeleteFunc(w.reports, func(r report) bool {
			if int(r.member) == from && r.load != (Load{}) {
				n.markChanged(w)
			}
			return int(r.member) == from
		})
	}
}

// recordReport records the load on a worker that a member has sent.
func (n *Node) recordReport(now time.Duration, from, sequence uint16, key uint32, load Load) {
	w := n.workersByKey[key]
	if w == nil {
		n.Counts.UnknownWorkers++
		return
	}
	i := slices.IndexFunc(w.reports, func(r report) bool { return r.member == from })
	if i < 0 {
		i = len(w.reports)
		w.reports = append(w.reports, report{member: from, sequence: sequence - 1})
		if !w.reported {
			w.reported = true
			n.reported = append(n.reported, w)
		}
	}
	r := &w.reports[i]
	if !newer(sequence, r.sequence) {
		return // duplicate, or older than the recorded report
	}
	if load != r.load {
		n.markChanged(w)
	}
	*r = report{from, sequence, load, now}
}
