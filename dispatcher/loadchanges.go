package dispatcher

// loadChanges lists the workers at which this dispatcher's load has changed since the last
// AppendLoadChanges. Invariant: a worker is in the list if and only if its loadChanged is set.
type loadChanges struct {
	tracked bool
	workers []*worker
}

// note records a change of the load at a worker.
func (c *loadChanges) note(w *worker) {
	if c.tracked && !w.loadChanged {
		w.loadChanged = true
		c.workers = append(c.workers, w)
	}
}
