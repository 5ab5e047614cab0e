package dispatcher

// Workers where this dispatcher's load has changed.

// loadChanges are the workers where this dispatcher's load has changed since the last
// AppendLoadChanges. Invariant: a worker is in the list if its loadChanged says so.
type loadChanges struct {
	tracked bool
	workers []*worker
}

// note notes a change at a worker.
func (c *loadChanges) note(w *worker) {
	if c.tracked && !w.loadChanged {
		w.loadChanged = true
		c.workers = append(c.workers, w)
	}
}
