package fairqueue

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func atDoor(t *testing.T, room int, coops ...Coop) *Door {
	t.Helper()
	d, err := New(Options{Coops: coops, Concurrency: room, Clients: 4, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *Door) asks(t *testing.T, name string, jobs int) {
	t.Helper()
	for i := range jobs {
		if v, _ := d.Arrive(time.Second, Ask{Token: fmt.Sprint(name, i), Coop: d.Number(name), Client: name, Cost: 1, Left: time.Hour}); v == Refused {
			t.Fatalf("%s%d was refused", name, i)
		}
	}
}

// letIn has so many jobs of cost 1 end, each of the co-op that is next in line, and returns who went in.
func (d *Door) letIn(t *testing.T, jobs, first int) map[string]int {
	t.Helper()
	in, last := map[string]int{}, first
	for range jobs {
		d.Leave(last, 1)
		a, ok := d.Next(time.Second)
		if !ok {
			break
		}
		in[a.Token.(string)[:1]]++
		last = a.Coop
	}
	return in
}

// Guards shares that change while jobs wait: from then on co-ops go in by the new ones, and of the co-ops that have
// not changed all stays to the bit.
func TestSharesChange(t *testing.T) {
	d := atDoor(t, 1, Coop{"a", 1}, Coop{"b", 1}, Coop{"c", 2})
	d.asks(t, "a", 100)
	d.asks(t, "b", 100)
	d.asks(t, "c", 3)
	if in := d.letIn(t, 40, 0); math.Abs(float64(in["a"]-in["b"])) > 2 {
		t.Errorf("by equal shares %v went in", in)
	}
	before := d.coops[2]
	if err := d.Retune([]Coop{{"e", 7}, {"c", 2}, {"a", 3}, {"b", 1}}); err != nil {
		t.Fatal(err)
	}
	if after := d.coops[d.Number("c")]; !reflect.DeepEqual(before, after) {
		t.Errorf("c was %+v and is %+v", before, after)
	}
	if in := d.letIn(t, 80, 1); in["a"] < 57 || in["a"] > 63 {
		t.Errorf("of 80, by shares of 3 to 1, %v went in", in)
	}
	for _, bad := range [][]Coop{{{"a", 0}}, {{"a", 1}, {"a", 2}}, {{"a", math.Inf(1)}}} {
		if err := d.Retune(bad); err == nil || d.Number("e") < 0 {
			t.Errorf("%v: error %v", bad, err)
		}
	}
}

// Guards the jobs of a co-op that goes: they go in by the share that it had, and its place is a newcomer's only once
// the last has left.
func TestCoopGoesWithItsJobs(t *testing.T) {
	d := atDoor(t, 1, Coop{"a", 1}, Coop{"b", 1})
	d.asks(t, "a", 20)
	d.asks(t, "b", 10)
	if err := d.Retune([]Coop{{"a", 1}}); err != nil {
		t.Fatal(err)
	}
	if d.Number("b") != -1 {
		t.Error("it still has a number")
	}
	if in := d.letIn(t, 18, 0); in["b"] < 8 {
		t.Errorf("of 18 %v went in", in)
	}
	if err := d.Retune([]Coop{{"a", 1}, {"c", 1}}); err != nil {
		t.Fatal(err)
	}
	if got := d.Number("c"); got != 2 {
		t.Errorf("while b waits c has number %d", got)
	}
	for d.coops[1].waiting > 0 || d.coops[1].jobs > 0 {
		last := 0
		for i := range d.coops {
			if d.coops[i].jobs > 0 {
				last = i
			}
		}
		if len(d.letIn(t, 1, last)) == 0 {
			t.Fatal("nobody goes in any more")
		}
	}
	if err := d.Retune([]Coop{{"a", 1}, {"c", 1}, {"d", 1}}); err != nil {
		t.Fatal(err)
	}
	if got := d.Number("d"); got != 1 || len(d.coops) != 3 {
		t.Errorf("d has number %d of %d", got, len(d.coops))
	}
}

// A model: whoever is let in or waits is so until he leaves, whatever comes and goes; numbers are one co-op's at a time,
// and there are no more of them than co-ops that have ever been here at a time.
func TestRetuneModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d, _ := New(Options{Coops: []Coop{{"a", 1}}, Concurrency: 2, Queue: 100, Clients: 3, Seed: 1})
		set := map[string]bool{"a": true}
		waits, inside := map[string]Ask{}, map[string]Ask{}
		n, most := 0, 1
		enter := func(a Ask) {
			id := a.Token.(string)
			if _, there := inside[id]; there {
				r.Fatalf("%s goes in twice", id)
			}
			delete(waits, id)
			inside[id] = a
		}
		r.Repeat(map[string]func(*rapid.T){
			"retune": func(r *rapid.T) {
				set = map[string]bool{}
				var coops []Coop
				for _, c := range "abcde" {
					if rapid.Bool().Draw(r, "there") {
						set[string(c)] = true
						coops = append(coops, Coop{string(c), float64(rapid.IntRange(1, 5).Draw(r, "share"))})
					}
				}
				if err := d.Retune(coops); err != nil {
					r.Fatal(err)
				}
				here := map[int]bool{}
				for _, a := range waits {
					here[a.Coop] = true
				}
				for _, a := range inside {
					here[a.Coop] = true
				}
				for c := range set {
					here[d.Number(c)] = true
				}
				if most = max(most, len(here)); len(d.coops) > most {
					r.Fatalf("%d numbers for %d co-ops", len(d.coops), most)
				}
			},
			"ask": func(r *rapid.T) {
				name := string("abcde"[rapid.IntRange(0, 4).Draw(r, "coop")])
				number := d.Number(name)
				if (number >= 0) != set[name] {
					r.Fatalf("%s has number %d", name, number)
				}
				if number < 0 {
					return
				}
				n++
				a := Ask{Token: fmt.Sprint(name, n), Coop: number, Client: name, Cost: 1, Left: time.Hour}
				switch v, _ := d.Arrive(time.Second, a); v {
				case In:
					enter(a)
				case Wait:
					waits[a.Token.(string)] = a
				}
			},
			"leave": func(r *rapid.T) {
				if len(inside) > 0 {
					id := rapid.SampledFrom(slices.Sorted(maps.Keys(inside))).Draw(r, "who")
					d.Leave(inside[id].Coop, inside[id].Cost)
					delete(inside, id)
				}
				for {
					a, ok := d.Next(time.Second)
					if !ok {
						return
					}
					if w, waited := waits[a.Token.(string)]; !waited || w.Coop != a.Coop {
						r.Fatalf("%v of %d goes in, %v of %d waited", a.Token, a.Coop, w.Token, w.Coop)
					}
					enter(a)
				}
			},
			"": func(r *rapid.T) {
				byNumber := map[int]string{}
				for _, all := range []map[string]Ask{waits, inside} {
					for id, a := range all {
						if was := byNumber[a.Coop]; was != "" && was != id[:1] {
							r.Fatalf("number %d is %s's and %s's", a.Coop, was, id[:1])
						}
						byNumber[a.Coop] = id[:1]
					}
				}
				if d.Inside() != len(inside) {
					r.Fatalf("%d inside, want %d", d.Inside(), len(inside))
				}
				sum := 0
				for i := range d.coops {
					sum += d.Waiting(i)
				}
				if sum != len(waits) {
					r.Fatalf("%d wait, want %d", sum, len(waits))
				}
			},
		})
	})
}

// Guards against a co-op that counts twice: gone with jobs that wait and there again, it goes on at its place, by one share.
func TestCoopIsTakenBack(t *testing.T) {
	d := atDoor(t, 1, Coop{"a", 1}, Coop{"b", 1})
	d.asks(t, "a", 60)
	d.asks(t, "b", 30)
	for _, coops := range [][]Coop{{{"a", 1}}, {{"b", 1}, {"a", 1}}} {
		if err := d.Retune(coops); err != nil {
			t.Fatal(err)
		}
	}
	if got := d.Number("b"); got != 1 || len(d.coops) != 2 || d.coops[1].gone || d.coops[1].waiting != 30 {
		t.Errorf("it has number %d of %d: %+v", got, len(d.coops), d.coops[1].gone)
	}
	d.asks(t, "b", 30)
	if in := d.letIn(t, 40, 0); math.Abs(float64(in["a"]-in["b"])) > 2 {
		t.Errorf("by equal shares %v went in", in)
	}
}
