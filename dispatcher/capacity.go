package dispatcher

// Capacity: what this dispatcher has in flight, and at how much it found capacity.

// capacityEstimate is the slots that are in flight, and how many were when capacity
// was last found.
type capacityEstimate struct {
	inFlight float64 // slots of this dispatcher's and its sibling's attempts
	short    bool    // in this round a request found no free capacity
	slots    float64 // in flight that found capacity, at most
}

// endRound updates the estimate from a round, and returns a bound on the slots in flight,
// which is the given one at most.
func (c *capacityEstimate) endRound(bound float64) float64 {
	if c.short {
		c.slots += 0.2 * (c.inFlight - c.slots)
		return min(bound, max(1, c.slots))
	}
	c.slots = max(c.slots, c.inFlight)
	return bound
}
