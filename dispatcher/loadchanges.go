package dispatcher

// loadChanges lists the workers at which this dispatcher's load has changed since the last
// AppendLoadChanges. Invariant: a worker is in the list if and only if its loadChanged is set.
type loadChanges struct {
	tracked bool
	workers []*worker
}

// record adds the worker to the list unless changes are not tracked.
func (c *loadChanges) record(w *worker) {
	if c.tracked && !w.loadChanged {
		w.loadChanged = true
		c.workers = append(c.workers, w)
	}
}
