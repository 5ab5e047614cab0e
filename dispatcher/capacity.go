package dispatcher

// capacityEstimate estimates the capacity that is available to this dispatcher from the
// slots in flight at which requests still found free capacity.
type capacityEstimate struct {
	inFlight  float64 // slots in flight of this dispatcher and its siblings
	exhausted bool    // a request found no free capacity in this round
	slots     float64 // estimated capacity, in slots
}

// endRound updates the estimate at the end of a round. It returns the limit on the slots
// in flight: the bound, or the estimate if capacity was exhausted and the estimate is lower.
func (c *capacityEstimate) endRound(bound float64) float64 {
	if c.exhausted {
		c.slots += 0.2 * (c.inFlight - c.slots)
		return min(bound, max(1, c.slots))
	}
	c.slots = max(c.slots, c.inFlight)
	return bound
}
