package fleetrig

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sedgevale/internal/standin"
)

var long = flag.Bool("long", false, "freeze for 10 s instead of 2 s")

// inForceWithin is what a change may take until it is in force at a scheduler that has been told.
const inForceWithin = 15 * time.Second

// trial is a rig with clients of several teams, and all that they were told.
type trial struct {
	*Rig
	t    *testing.T
	ctx  context.Context
	stop context.CancelFunc
	busy sync.WaitGroup

	mu     sync.Mutex
	told   []standin.Told
	probes int
}

// try starts a rig of sound boxes that begins with a configuration.
func try(t *testing.T, schedulers int, c Configuration) *trial {
	t.Helper()
	o := Options{Dir: t.TempDir(), Seed: *seed, Schedulers: schedulers, Start: c}
	for i := range 8 {
		o.Boxes = append(o.Boxes, BoxOptions{Cell: i / 4, Slots: 4, Work: 60 * time.Millisecond})
	}
	f := &trial{Rig: run(t, o), t: t}
	f.ctx, f.stop = context.WithCancel(t.Context())
	t.Cleanup(func() { f.stop(); f.busy.Wait() })
	if err := f.agree(agreeWithin); err != nil {
		t.Fatal(err)
	}
	return f
}

// crowd runs clients of one team at some schedulers until they are stopped, at the latest at the end.
func (f *trial) crowd(team string, clients int, think time.Duration, at ...*Scheduler) (stop func()) {
	ctx, stop := context.WithCancel(f.ctx)
	f.busy.Go(func() {
		told := f.Run(ctx, Crowd{Schedulers: at, Teams: []string{team}, Label: "-" + team, Clients: clients, Think: think, Timeout: timeout})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.told = append(f.told, told...)
	})
	return stop
}

// ask hands one job of a team in and returns what was told of it.
func (f *trial) ask(s *Scheduler, team string) standin.Told {
	f.mu.Lock()
	f.probes++
	id := fmt.Sprintf("%s-%s-probe-%d", s.Name, team, f.probes)
	f.mu.Unlock()
	told := s.Post(f.t.Context(), id, "usage-view", team, timeout)
	f.mu.Lock()
	f.told = append(f.told, told)
	f.mu.Unlock()
	return told
}

// awaitStatus asks with jobs of a team until one is answered so, and returns how long it took.
func (f *trial) awaitStatus(s *Scheduler, team string, status int) time.Duration {
	f.t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		told := f.ask(s, team)
		if told.Status == status {
			return time.Since(began)
		}
		if time.Since(began) > inForceWithin {
			f.t.Fatalf("%s: a job of %s is answered with %d %q after %v, want %d", s.Name, team, told.Status, told.Body, time.Since(began), status)
		}
	}
}

// served and stranger return how long a change took to be seen by one team at some schedulers.
func (f *trial) served(team string, at ...*Scheduler) { f.t.Helper(); f.each(team, http.StatusOK, at) }
func (f *trial) stranger(team string, at ...*Scheduler) {
	f.t.Helper()
	f.each(team, http.StatusBadRequest, at)
}

func (f *trial) each(team string, status int, at []*Scheduler) {
	f.t.Helper()
	var slowest time.Duration
	for _, s := range at {
		slowest = max(slowest, f.awaitStatus(s, team, status))
	}
	f.t.Logf("jobs of %s are answered with %d after %v at the latest of %d", team, status, slowest.Round(time.Millisecond), len(at))
}

// reconfigure gives some schedulers a new configuration.
func (f *trial) reconfigure(c Configuration, at ...*Scheduler) {
	f.t.Helper()
	if err := f.Reconfigure(c, at...); err != nil {
		f.t.Fatal(err)
	}
}

// finish ends all clients and judges what they were told.
func (f *trial) finish() []standin.Told {
	f.t.Helper()
	f.stop()
	f.busy.Wait()
	f.judge(f.t, f.told)
	return f.told
}

// of returns the answers to a team's jobs.
func (f *trial) of(team string) (out []standin.Told) {
	for _, t := range f.told {
		if strings.Contains(t.Job, "-"+team+"-") {
			out = append(out, t)
		}
	}
	return out
}

// stayed reports each job of a team that was refused for a change, and anything but its result where its scheduler was up.
func (f *trial) stayed(team string) {
	f.t.Helper()
	e := f.Evidence(nil, timeout)
	all, refused := f.of(team), 0
	for _, t := range all {
		scheduler, _, _ := strings.Cut(t.Job, "-")
		switch {
		case t.Status == http.StatusOK || t.Status == 0 && e.outage(scheduler, t.Asked, t.At): // else the referee finds it
		case t.Status == http.StatusBadRequest || t.Status == http.StatusNotFound || t.Status == http.StatusInternalServerError:
			f.t.Errorf("%s of a team that stayed was told %d %q", t.Job, t.Status, t.Body)
		default:
			refused++
		}
	}
	f.t.Logf("%s stayed: %d jobs, %d refused for want of time", team, len(all), refused)
	if len(all) == 0 || refused*50 > len(all) {
		f.t.Errorf("%s stayed: %d of %d jobs were refused", team, refused, len(all))
	}
}

// changing reports answers to jobs of a team that comes and goes which are neither a result nor that the team is unknown,
// and returns how many of its jobs were under way when a moment came, of which all have their results.
func (f *trial) changing(team string, at time.Time) (under int) {
	f.t.Helper()
	e := f.Evidence(nil, timeout)
	for _, t := range f.of(team) {
		scheduler, _, _ := strings.Cut(t.Job, "-")
		if e.outage(scheduler, t.Asked, t.At) {
			continue
		}
		if t.Status != http.StatusOK && t.Status != http.StatusBadRequest {
			f.t.Errorf("%s was told %d %q", t.Job, t.Status, t.Body)
		}
		if t.Status == http.StatusOK && t.Asked.Before(at) && t.At.After(at) {
			under++
		}
	}
	return under
}

// account is what a scheduler's page says of the configurations in force.
type account struct {
	Self    int `json:"self"`
	Newest  int `json:"newest"`
	Members []struct {
		Number   int    `json:"number"`
		State    string `json:"state"`
		Revision int    `json:"revision"`
		Digest   string `json:"digest"`
		BehindMS *int64 `json:"behind_ms"`
		Differs  bool   `json:"differs"`
	} `json:"members"`
	Boxes []struct {
		Tellers int `json:"tellers"`
	} `json:"boxes"`
	Counts struct {
		Received uint64 `json:"received"`
		Refused  uint64 `json:"refused"`
	} `json:"counts"`
}

// behind returns whether a member is told to be behind; it fails where nothing is told.
func (a *account) behind(i int) (bool, error) {
	if i >= len(a.Members) || a.Members[i].BehindMS == nil {
		return false, fmt.Errorf("nothing is told of whether %d is behind", i)
	}
	return *a.Members[i].BehindMS >= 0, nil
}

// awaitAccount asks for a scheduler's page until nothing is wrong with it.
func (f *trial) awaitAccount(s *Scheduler, what string, wrong func(*account) error) account {
	f.t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		var a account
		err := s.Read("/admin/peers", &a)
		if err == nil {
			if err = wrong(&a); err == nil {
				f.t.Logf("%s: %s after %v", s.Name, what, time.Since(began).Round(time.Millisecond))
				return a
			}
		}
		if time.Since(began) > inForceWithin {
			f.t.Fatalf("%s: %s: not after %v: %v", s.Name, what, time.Since(began), err)
		}
	}
}

// level awaits that each of some schedulers has all for level at a revision, by the same digest.
func (f *trial) level(revision int, at ...*Scheduler) {
	f.t.Helper()
	for _, s := range at {
		f.awaitAccount(s, fmt.Sprintf("all are level at %d", revision), func(a *account) error {
			if a.Newest != revision {
				return fmt.Errorf("the newest is %d", a.Newest)
			}
			for i, m := range a.Members {
				if late, err := a.behind(i); err != nil || late || m.Differs || m.Revision != revision {
					return fmt.Errorf("%+v, behind %v: %v", m, late, err)
				}
			}
			return nil
		})
	}
}

// lossy has every datagram between schedulers lost by a chance.
func (f *trial) lossy(share float64) {
	(&Torment{Rig: f.Rig}).between(func(int, int) (Fault, bool) { return Fault{Loss: share}, true })
}

// Guards changes of teams under load, while half of the words between schedulers are lost and one of them is killed and comes
// back with the newest file: who stays is served throughout, who is new is served in time at each scheduler, and of who
// goes new jobs are none while those under way have their results.
func TestTeamsChangeWhileServing(t *testing.T) {
	f := try(t, 4, Configuration{1, []Team{{"valley", 0.5, 60}, {"east", 0.3, 40}, {"west", 0.2, 20}}})
	all, restarted := f.Schedulers, f.Schedulers[1]
	f.crowd("valley", 2, 100*time.Millisecond, all...)
	f.crowd("east", 2, 100*time.Millisecond, all...)
	f.crowd("west", 3, 10*time.Millisecond, all...)
	f.served("west", all...)
	f.lossy(0.5)

	f.reconfigure(Configuration{2, []Team{{"valley", 0.2, 30}, {"north", 0.3, 10}, {"west", 0.2, 20}, {"east", 0.15, 20}}}, all...)
	f.served("north", all...)
	f.crowd("north", 1, 100*time.Millisecond, all...)

	third := Configuration{3, []Team{{"north", 0.1, 10}, {"south", 0.5, 0}, {"east", 0.3, 20}, {"valley", 0.2, 30}}}
	restarted.Kill()
	if err := restarted.Replace(restarted.File(third)); err != nil {
		t.Fatal(err)
	}
	back := make(chan error, 1)
	up := slices.DeleteFunc(slices.Clone(all), func(s *Scheduler) bool { return s == restarted })
	gone := time.Now()
	f.reconfigure(third, up...)
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
	for i, who := range f.Schedulers { // what one tells is believed on the other side
		stop := f.crowd("valley", 6, time.Millisecond, who)
		for j, s := range f.Schedulers {
			if (i < len(young)) == (j < len(young)) {
				continue
			}
			f.awaitAccount(s, "believes "+who.Name, func(a *account) error {
				for _, b := range a.Boxes {
					if b.Tellers > 0 {
						return nil
					}
				}
				return fmt.Errorf("no box has a teller")
			})
		}
		stop()
		for j, s := range f.Schedulers { // the next one's words are to be its own
			if i != j {
				f.awaitAccount(s, "has forgotten "+who.Name, func(a *account) error {
					for _, b := range a.Boxes {
						if b.Tellers > 0 {
							return fmt.Errorf("a box has %d tellers", b.Tellers)
						}
					}
					return nil
				})
			}
		}
	}
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
		{"an endless share", good.Teams, func(text []byte) []byte {
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
			if err := s.Replace(text); err != nil {
				t.Fatal(err)
			}
			if err := s.Hangup(); err != nil {
				t.Fatal(err)
			}
			line, err := s.AwaitLog(after, "configuration", inForceWithin)
			if err != nil {
				t.Fatalf("%s: %v", bad.what, err)
			}
			if !strings.Contains(line, "the new configuration is bad") {
				t.Errorf("%s: %s", bad.what, line)
			}
			for team, want := range map[string]int{"valley": 200, "east": 200, "north": 400} {
				if told := f.ask(s, team); told.Status != want {
					t.Errorf("%s: a job of %s was told %d, want %d", bad.what, team, told.Status, want)
				}
			}
		}
	}
	f.level(1, f.Schedulers...)
	f.reconfigure(good, f.Schedulers...)
	f.served("north", f.Schedulers...)
	f.stranger("east", f.Schedulers...)
	f.level(2, f.Schedulers...)
	f.finish()
	f.stayed("valley")
}
