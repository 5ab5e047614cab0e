package dispatchconfig

import "errors"

// Admission configures the admission queue in front of the planners; see docs/FAIR-QUEUE.md.
type Admission struct {
	Concurrency int `toml:"concurrency"`      // maximum number of admitted jobs at a time
	Queue       int `toml:"queue,omitzero"`   // maximum number of queued jobs per tenant; 0 means 256
	Clients     int `toml:"clients,omitzero"` // number of client queues per tenant; 0 means 512
}

// maxAdmission is the maximum of each number in [Admission].
const maxAdmission = 1 << 16

func (c *Config) checkAdmission() error {
	a := c.Admission
	switch {
	case a == nil:
		return nil
	case a.Concurrency <= 0 || a.Concurrency > maxAdmission:
		return errors.New("door.concurrency must be between 1 and 65536")
	case a.Queue < 0 || a.Queue > maxAdmission || a.Clients < 0 || a.Clients > maxAdmission:
		return errors.New("door.queue and door.clients must be between 0 and 65536")
	case len(c.Settings.Tenants) == 0:
		return errors.New("door: there are no realms in the settings to share among")
	}
	return nil
}
