package dispatchconfig

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Journal configures the journal of jobs that must not run twice; see docs/JOURNAL.md.
type Journal struct {
	Dir       string   `toml:"dir"`
	Classes   []string `toml:"classes,omitempty"`    // recorded classes; if empty, all whose effect is not "free"
	Sync      string   `toml:"sync,omitempty"`       // SyncGroup or SyncNone
	KeyFile   string   `toml:"key_file,omitempty"`   // if empty, the file "key" in Dir
	Retention float64  `toml:"keep_s,omitempty"`     // retention time of records in seconds; 0 means a week
	MaxMB     int      `toml:"max_mb,omitempty"`     // maximum size of the journal in MB; 0 means 256
	ReserveMB int      `toml:"reserve_mb,omitempty"` // size in MB of a reserve file, deleted when space runs out; 0 means 8
	OnFull    string   `toml:"on_full,omitempty"`    // RejectOnFull or ServeOnFull
}

// The values of Journal.Sync and Journal.OnFull; the first of each is the default.
const (
	SyncGroup    = "group" // a record is durable once synced to disk; concurrent records share a sync
	SyncNone     = "none"  // a record counts as durable once written to the operating system; a power failure can lose it
	RejectOnFull = "refuse"
	ServeOnFull  = "serve"
)

const (
	defaultJournalRetention = 7 * 24 * 3600 // seconds
	defaultJournalMaxMB     = 256
	defaultJournalReserveMB = 8
	minJournalMaxMB         = 4
)

func (j *Journal) setDefaults() {
	j.Retention = cmp.Or(j.Retention, defaultJournalRetention)
	j.MaxMB = cmp.Or(j.MaxMB, defaultJournalMaxMB)
	j.ReserveMB = cmp.Or(j.ReserveMB, defaultJournalReserveMB)
	j.Sync = cmp.Or(j.Sync, SyncGroup)
	j.OnFull = cmp.Or(j.OnFull, RejectOnFull)
}

func (c *Config) checkJournal() error {
	j := c.Journal
	if j == nil {
		return nil
	}
	j.setDefaults() // here rather than in the parser, since programs that embed a scheduler build a Config directly
	switch {
	case j.Dir == "":
		return errors.New("journal.dir is missing")
	case j.Sync != SyncGroup && j.Sync != SyncNone:
		return fmt.Errorf("journal.sync is %q: %q or %q", j.Sync, SyncGroup, SyncNone)
	case j.OnFull != RejectOnFull && j.OnFull != ServeOnFull:
		return fmt.Errorf("journal.on_full is %q: %q or %q", j.OnFull, RejectOnFull, ServeOnFull)
	case j.Retention < 0 || j.Retention > 1e9:
		return errors.New("journal.keep_s must be between 0 and 1e9")
	case j.MaxMB < minJournalMaxMB || j.MaxMB > 1<<20:
		return fmt.Errorf("journal.max_mb must be at least %d", minJournalMaxMB)
	case j.ReserveMB < 0 || j.ReserveMB > j.MaxMB/2:
		return errors.New("journal.reserve_mb must be at most half of max_mb")
	}
	return c.checkJournalClasses()
}

func (c *Config) checkJournalClasses() error {
	for _, name := range c.Journal.Classes {
		if !slices.ContainsFunc(c.Settings.Classes, func(k Class) bool { return k.Name == name }) {
			return fmt.Errorf("journal.classes: no class %q in the settings", name)
		}
	}
	if len(c.JournalClasses()) == 0 {
		return errors.New("journal.classes: no class of the settings is to be recorded")
	}
	return nil
}

// JournalClasses returns the classes whose jobs are recorded.
func (c *Config) JournalClasses() []string {
	if len(c.Journal.Classes) > 0 {
		return c.Journal.Classes
	}
	var names []string
	for _, k := range c.Settings.Classes {
		if k.Idempotency != "free" {
			names = append(names, k.Name)
		}
	}
	return names
}
