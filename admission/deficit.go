package admission

import (
	"math"
	"slices"
)

// Deficit is the deficit counter of a queue, in units of estimated work: M. Shreedhar and G. Varghese, "Efficient Fair
// Queuing Using Deficit Round Robin", SIGCOMM 1995. A queue releases work while its counter is positive; the counter may
// fall below 0 by the last piece of work.
type Deficit float64

// maxCreditQuanta bounds the credit that a queue accumulates while it is blocked.
const maxCreditQuanta = 8

// BeginTurn adds the quantum of one turn to the counter, up to a bound. A queue without backlog loses its credit.
func (d *Deficit) BeginTurn(quantum float64, backlogged bool) {
	if !backlogged {
		*d = 0
		return
	}
	*d = Deficit(min(float64(*d)+quantum, maxCreditQuanta*quantum))
}

// Charge charges released work and reports whether the queue may release more in this turn.
func (d *Deficit) Charge(work float64) bool {
	*d -= Deficit(work)
	return *d > 0
}

// TurnsUntilCredit returns the number of turns after which the first of some queues without credit has credit again, 0 if
// there are no queues.
func TurnsUntilCredit(debts []Deficit, quantum float64) float64 {
	if len(debts) == 0 {
		return 0
	}
	return math.Floor(-float64(slices.Max(debts))/quantum) + 1
}
