package faultinjection

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	long    = flag.Bool("long", false, "freeze for 10 s instead of 2 s")
	changes = flag.Int("changes", 24, "changes of teams under way")
)

// Guards changes of teams under load, while half of the words between schedulers are lost and one of them is killed and comes
// back with the newest file: who stays is served throughout, who is new is served in time at each scheduler, and of who
// goes new jobs are none while those under way have their results.
func TestTeamsChangeWhileServing(t *testing.T) {
	f := try(t, 4, Configuration{1, []Team{{"valley", 0.5, 60}, {"east", 0.3, 40}, {"west", 0.2, 20}}})
	all, restarted := f.Schedulers, f.Schedulers[1]
	f.crowd("valley", 2, 40*time.Millisecond, all...)
	f.crowd("east", 2, 40*time.Millisecond, all...)
	f.crowd("west", 3, 10*time.Millisecond, all...)
	f.served("west", all...)
	f.lossy(0.5)

	f.reconfigure(Configuration{2, []Team{{"valley", 0.2, 30}, {"north", 0.3, 10}, {"west", 0.2, 20}, {"east", 0.15, 20}}}, all...)
	f.served("north", all...)
	f.crowd("north", 1, 100*time.Millisecond, all...)

	// The one that is killed reads the newest at its start, and is told once more when it is up.
	third := Configuration{3, []Team{{"north", 0.1, 10}, {"south", 0.5, 0}, {"east", 0.3, 20}, {"valley", 0.2, 30}}}
	restarted.Kill()
	back := make(chan error, 1)
	up := slices.DeleteFunc(slices.Clone(all), func(s *Scheduler) bool { return s == restarted })
	gone := time.Now()
	f.reconfigure(third, all...)
	go func() { back <- f.Start(restarted) }()
	f.stranger("west", up...)
	f.served("south", up...)
	if err := <-back; err != nil {
		t.Fatal(err)
	}
	f.served("south", restarted)
	f.stranger("west", restarted)
	f.crowd("south", 1, 100*time.Millisecond, all...)

	f.reconfigure(Configuration{4, []Team{{"south", 0.2, 5}, {"west", 0.3, 20}, {"east", 0.3, 20}, {"valley", 0.2, 30}, {"north", 0.3, 10}}}, all...)
	f.served("west", all...)
	f.Net.Heal()
	f.level(4, all...)
	if err := f.agree(agreeWithin); err != nil {
		t.Error(err)
	}
	f.finish()
	for _, team := range []string{"valley", "east"} {
		f.stayed(team)
	}
	f.changing("north", gone)
	f.changing("south", gone)
	if under := f.changing("west", gone); under == 0 {
		t.Error("no job of west was under way when it went")
	} else {
		t.Logf("%d jobs of west were under way when it went", under)
	}
}

// Guards schedulers of which half have new teams, one of them since its start: they hear and believe each other, each knows
// who is behind, and one that has missed three changes catches up by one signal.
func TestHalfOnTheOldTeams(t *testing.T) {
	first := Configuration{1, []Team{{"valley", 0.6, 0}, {"east", 0.4, 0}}}
	f := try(t, 4, first)
	young, old := f.Schedulers[:2], f.Schedulers[2:]
	newest := Configuration{4, []Team{{"south", 0.5, 30}, {"valley", 0.3, 20}, {"north", 0.2, 10}}}
	for _, c := range []Configuration{
		{2, []Team{{"valley", 0.3, 20}, {"east", 0.4, 0}, {"north", 0.3, 0}}},
		{3, []Team{{"valley", 0.3, 20}, {"north", 0.7, 0}}}, newest} {
		f.reconfigure(c, young[0])
		f.awaitAccount(young[0], fmt.Sprintf("%d is in force", c.Revision), func(a *account) error {
			if got := a.Members[a.Self].Revision; got != c.Revision {
				return fmt.Errorf("it has %d in force", got)
			}
			return nil
		})
	}
	young[1].Kill()
	if err := young[1].Replace(young[1].File(newest)); err != nil {
		t.Fatal(err)
	}
	if err := f.Start(young[1]); err != nil {
		t.Fatal(err)
	}
	f.served("south", young...)
	f.stranger("south", old...)
	f.served("east", old...)
	if err := f.agree(agreeWithin); err != nil {
		t.Error(err)
	}
	var before [4]account
	for i, s := range f.Schedulers {
		before[i] = f.awaitAccount(s, "the old ones are behind", func(a *account) error {
			for j := range f.Schedulers {
				if late, err := a.behind(j); err != nil || late != (j >= len(young)) {
					return fmt.Errorf("%d behind: %v, error %v", j, late, err)
				}
			}
			return nil
		})
	}
	stop := f.crowd("valley", 6, time.Millisecond, f.Schedulers...)
	for _, s := range f.Schedulers { // what each of the three others tells is believed
		f.awaitAccount(s, "believes all others", func(a *account) error {
			most := 0
			for _, b := range a.Boxes {
				most = max(most, b.Tellers)
			}
			if most < len(f.Schedulers)-1 {
				return fmt.Errorf("no box has more than %d tellers", most)
			}
			return nil
		})
	}
	stop()
	for i, s := range f.Schedulers {
		f.awaitAccount(s, "no datagram is refused", func(a *account) error {
			if a.Counts.Refused != before[i].Counts.Refused || a.Counts.Received < before[i].Counts.Received+20 {
				return fmt.Errorf("refused %d, before %d; received %d, before %d", a.Counts.Refused, before[i].Counts.Refused,
					a.Counts.Received, before[i].Counts.Received)
			}
			return nil
		})
	}
	f.reconfigure(newest, old...)
	f.served("south", old...)
	f.stranger("east", old...)
	f.level(newest.Revision, f.Schedulers...)
	f.finish()
	f.stayed("valley")
}

// Guards the last of two files when signals come at once: whatever was read of the first, the second is in force.
func TestTwoChangesInOneSecond(t *testing.T) {
	f := try(t, 2, Configuration{1, []Team{{"valley", 0.6, 0}, {"east", 0.4, 0}}})
	f.crowd("valley", 2, 20*time.Millisecond, f.Schedulers...)
	for revision := 2; revision < 12; revision += 2 {
		passing, last := fmt.Sprint("passing", revision), fmt.Sprint("last", revision)
		f.reconfigure(Configuration{revision, []Team{{passing, 0.5, 0}, {"valley", 0.5, 10}}}, f.Schedulers...)
		f.reconfigure(Configuration{revision + 1, []Team{{"valley", 0.1, 0}, {last, 0.9, 5}}}, f.Schedulers...)
		f.served(last, f.Schedulers...)
		for _, s := range f.Schedulers {
			if told := f.ask(s, passing); told.Status != http.StatusBadRequest {
				t.Errorf("%s: a job of %s, which the last file has not, was told %d", s.Name, passing, told.Status)
			}
		}
		f.level(revision+1, f.Schedulers...)
	}
	f.finish()
	f.stayed("valley")
}

// Guards a change that is taken back by the former file: the first state is in force again, with its revision, everywhere,
// whether the change was in force meanwhile or not, and no job is lost.
func TestChangeTakenBack(t *testing.T) {
	first := Configuration{1, []Team{{"valley", 0.6, 40}, {"east", 0.4, 0}}}
	second := Configuration{2, []Team{{"north", 0.7, 0}, {"valley", 0.3, 20}}}
	f := try(t, 3, first)
	f.crowd("valley", 2, 20*time.Millisecond, f.Schedulers...)
	f.crowd("east", 3, 5*time.Millisecond, f.Schedulers...)
	f.served("east", f.Schedulers...)
	digest := ""
	f.level(1, f.Schedulers...)
	f.awaitAccount(f.Schedulers[0], "has a digest", func(a *account) error {
		if digest = a.Members[0].Digest; digest == "" {
			return fmt.Errorf("none")
		}
		return nil
	})
	changed := time.Now()
	f.reconfigure(second, f.Schedulers[:2]...)
	f.reconfigure(first, f.Schedulers[1])
	f.served("north", f.Schedulers[0])
	f.stranger("east", f.Schedulers[0])
	f.awaitAccount(f.Schedulers[2], "it is behind itself", func(a *account) error {
		if late, err := a.behind(2); err != nil || !late {
			return fmt.Errorf("behind %v, error %v", late, err)
		}
		return nil
	})
	f.reconfigure(first, f.Schedulers[0])
	f.served("east", f.Schedulers...)
	f.stranger("north", f.Schedulers...)
	f.level(1, f.Schedulers...)
	for _, s := range f.Schedulers {
		f.awaitAccount(s, "has the first digest", func(a *account) error {
			for _, m := range a.Members {
				if m.Digest != digest {
					return fmt.Errorf("%d has %s, and at first it was %s", m.Number, m.Digest, digest)
				}
			}
			return nil
		})
	}
	f.finish()
	f.stayed("valley")
	if under := f.changing("east", changed); under == 0 {
		t.Error("no job of east was under way at the change")
	}
	f.changing("north", changed)
}

// Guards a scheduler that is frozen while teams change: others tell that it is behind, and after the thaw it has the newest
// in force in time.
func TestFrozenThroughAChange(t *testing.T) {
	f := try(t, 3, Configuration{1, []Team{{"valley", 0.6, 0}, {"east", 0.4, 0}}})
	frozen, others := f.Schedulers[2], f.Schedulers[:2]
	f.crowd("valley", 2, 20*time.Millisecond, f.Schedulers...)
	f.crowd("east", 2, 20*time.Millisecond, f.Schedulers...)
	f.served("east", f.Schedulers...)
	f.level(1, f.Schedulers...)
	span := 2 * time.Second
	if *long {
		span = 10 * time.Second
	}
	if err := frozen.Freeze(); err != nil {
		t.Fatal(err)
	}
	thaw := time.After(span)
	f.reconfigure(Configuration{2, []Team{{"valley", 0.6, 0}, {"passing", 0.4, 0}}}, f.Schedulers...)
	f.served("passing", others...)
	f.reconfigure(Configuration{3, []Team{{"north", 0.2, 0}, {"valley", 0.6, 10}}}, f.Schedulers...)
	f.served("north", others...)
	f.stranger("passing", others...)
	for _, s := range others {
		f.awaitAccount(s, "the frozen one is behind", func(a *account) error {
			for i, want := range []bool{false, false, true} {
				if late, err := a.behind(i); err != nil || late != want {
					return fmt.Errorf("%d behind %v, error %v", i, late, err)
				}
			}
			return nil
		})
	}
	<-thaw
	if err := frozen.Thaw(); err != nil {
		t.Fatal(err)
	}
	f.served("north", frozen)
	for _, team := range []string{"east", "passing"} {
		f.stranger(team, f.Schedulers...)
	}
	f.level(3, f.Schedulers...)
	if err := f.agree(agreeWithin); err != nil {
		t.Error(err)
	}
	f.finish()
	f.stayed("valley")
	f.changing("east", time.Now())
}

// Guards against a bad file of which anything is taken over: the log names it, and teams, revision and jobs are as before.
func TestBadTeamsChangeNothing(t *testing.T) {
	f := try(t, 2, Configuration{1, []Team{{"valley", 0.6, 0}, {"east", 0.4, 0}}})
	f.crowd("valley", 2, 20*time.Millisecond, f.Schedulers...)
	f.crowd("east", 2, 20*time.Millisecond, f.Schedulers...)
	f.level(1, f.Schedulers...)
	good := Configuration{2, []Team{{"north", 0.5, 10}, {"valley", 0.5, 0}}}
	for _, bad := range []struct {
		what  string
		teams []Team
		spoil func(text []byte) []byte
	}{
		{"share 0", []Team{{"north", 0, 10}, {"valley", 0.5, 0}}, nil},
		{"share below 0", []Team{{"north", -1, 10}, {"valley", 0.5, 0}}, nil},
		{"quota below 0", []Team{{"north", 0.5, -10}, {"valley", 0.5, 0}}, nil},
		{"no name", []Team{{"", 0.5, 10}, {"valley", 0.5, 0}}, nil},
		{"a name twice", []Team{{"north", 0.5, 10}, {"valley", 0.2, 0}, {"north", 0.3, 0}}, nil},
		{"cut in a name", good.Teams, func(text []byte) []byte { return text[:bytes.Index(text, []byte("valley"))+3] }},
		{"empty", good.Teams, func([]byte) []byte { return nil }},
		{"an unknown key", good.Teams, func(text []byte) []byte {
			return bytes.Replace(text, []byte("name = \"north\"\n"), []byte("name = \"north\"\nquota = 3\n"), 1)
		}},
		{"a share that is no number", good.Teams, func(text []byte) []byte {
			return bytes.Replace(text, []byte("share = 0.5"), []byte("share = nan"), 1)
		}},
		{"a share without end", good.Teams, func(text []byte) []byte {
			return bytes.Replace(text, []byte("share = 0.5"), []byte("share = inf"), 1)
		}},
	} {
		for _, s := range f.Schedulers {
			after, err := s.Logged()
			if err != nil {
				t.Fatal(err)
			}
			text := s.File(Configuration{good.Revision, bad.teams})
			if bad.spoil != nil {
				text = bad.spoil(text)
			}
			if err := errors.Join(s.Replace(text), s.Hangup()); err != nil {
				t.Fatal(err)
			}
			line, err := s.AwaitLog(after, "configuration", inForceWithin)
			if err != nil {
				t.Fatalf("%s: %v", bad.what, err)
			}
			if !strings.Contains(line, "the new configuration is bad") {
				t.Errorf("%s: %s", bad.what, line)
			}
		}
		var asked sync.WaitGroup
		for team, want := range map[string]int{"valley": 200, "east": 200, "north": 400} {
			for _, s := range f.Schedulers {
				asked.Go(func() {
					if told := f.ask(s, team); told.Status != want {
						t.Errorf("%s: a job of %s was told %d, want %d", bad.what, team, told.Status, want)
					}
				})
			}
		}
		asked.Wait()
	}
	f.level(1, f.Schedulers...)
	f.reconfigure(good, f.Schedulers...)
	f.served("north", f.Schedulers...)
	f.stranger("east", f.Schedulers...)
	f.level(2, f.Schedulers...)
	f.finish()
	f.stayed("valley")
}

// Guards a course of changes drawn at random, each for some of the schedulers, while words are lost, one of them freezes and
// one is killed: nobody who stays is refused, no job is lost, and in the end all have the last in force.
func TestTeamsChangeAgainAndAgain(t *testing.T) {
	r := rand.New(rand.NewPCG(*seed, 0x7ea))
	guests := []string{"north", "south", "west", "delta", "ridge", "plain"}
	draw := func(revision int) (c Configuration, there map[string]bool) {
		c.Revision, there = revision, map[string]bool{}
		c.Teams = append(c.Teams, Team{"valley", 0.05 + r.Float64(), float64(r.IntN(40))})
		for _, name := range guests {
			if there[name] = r.IntN(2) == 0; there[name] {
				c.Teams = append(c.Teams, Team{name, 0.05 + r.Float64(), float64(r.IntN(20))})
			}
		}
		r.Shuffle(len(c.Teams), func(i, j int) { c.Teams[i], c.Teams[j] = c.Teams[j], c.Teams[i] })
		return c, there
	}
	first, _ := draw(1)
	f := try(t, 4, first)
	f.crowd("valley", 2, 40*time.Millisecond, f.Schedulers...)
	f.served("valley", f.Schedulers...)
	for _, name := range guests {
		f.crowd(name, 1, 40*time.Millisecond, f.Schedulers...)
	}
	f.lossy(0.5)
	began, revision, back := time.Now(), 1, make(chan error, 1)
	freeze, kill := f.Schedulers[r.IntN(2)], f.Schedulers[2+r.IntN(2)]
	pause := func() { // between changes; what is judged does not depend on it
		time.Sleep(time.Duration(r.Int64N(int64(120 * time.Millisecond))))
	}
	for n := range *changes {
		revision++
		c, _ := draw(revision)
		var some []*Scheduler
		for _, i := range r.Perm(len(f.Schedulers))[:1+r.IntN(len(f.Schedulers))] {
			some = append(some, f.Schedulers[i])
		}
		f.reconfigure(c, some...)
		var err error
		switch n {
		case *changes / 4:
			err = freeze.Freeze()
		case *changes / 3:
			kill.Kill()
		case *changes / 2:
			go func() { back <- f.Start(kill) }()
		case *changes * 3 / 4:
			err = freeze.Thaw()
		}
		if err != nil {
			t.Fatal(err)
		}
		pause()
	}
	if err := <-back; err != nil {
		t.Fatal(err)
	}
	last, there := draw(revision + 1)
	f.reconfigure(last, f.Schedulers...)
	for _, name := range guests {
		if there[name] {
			f.served(name, f.Schedulers...)
		}
	}
	f.level(last.Revision, f.Schedulers...) // half of the words are lost still
	for _, name := range guests {
		if !there[name] {
			f.stranger(name, f.Schedulers...)
		}
	}
	f.Net.Heal()
	if err := f.agree(agreeWithin); err != nil {
		t.Error(err)
	}
	f.finish()
	f.stayed("valley")
	for _, name := range guests {
		f.changing(name, began)
	}
}
