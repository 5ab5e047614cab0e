package admission

import (
	"math"
	"slices"
)

// Deficit is the deficit counter of a queue, in units of estimated work, as in M. Shreedhar and G. Varghese, "Efficient Fair
// Queuing Using Deficit Round Robin", SIGCOMM 1995. A queue releases work while its counter is positive. The last unit of
// work may make the counter negative.
type Deficit float64

// maxCreditQuanta is the maximum credit of a queue, in quanta, which it accumulates while it is blocked.
const maxCreditQuanta = 8

// BeginTurn adds the quantum of one turn to the counter, up to maxCreditQuanta quanta. A queue without backlog loses its
// credit.
func (d *Deficit) BeginTurn(quantum float64, backlogged bool) {
	if !backlogged {
		*d = 0
		return
	}
	*d = Deficit(min(float64(*d)+quantum, maxCreditQuanta*quantum))
}

// Charge subtracts released work and reports whether the queue may release more in this turn.
func (d *Deficit) Charge(work float64) bool {
	*d -= Deficit(work)
	return *d > 0
}

// TurnsUntilCredit returns the number of turns after which the first of the queues with these debts has credit again, or 0
// if there are no queues.
func TurnsUntilCredit(debts []Deficit, quantum float64) float64 {
	if len(debts) == 0 {
		return 0
	}
	return math.Floor(-float64(slices.Max(debts))/quantum) + 1
}
