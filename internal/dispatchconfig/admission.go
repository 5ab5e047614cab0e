package dispatchconfig

import "errors"

// Admission sets up the admission queues before the planners; see docs/FAIR-QUEUE.md.
type Admission struct {
	Concurrency int `toml:"concurrency"`      // admitted jobs at a time
	Queue       int `toml:"queue,omitzero"`   // queued jobs of a tenant; 0: 256
	Clients     int `toml:"clients,omitzero"` // client queues of each tenant; 0: 512
}

// maxAdmission bounds each number of an admission queue's settings.
const maxAdmission = 1 << 16

func (c *Config) checkAdmission() error {
	d := c.Admission
	switch {
	case d == nil:
		return nil
	case d.Concurrency <= 0 || d.Concurrency > maxAdmission:
		return errors.New("door.concurrency must be between 1 and 65536")
	case d.Queue < 0 || d.Queue > maxAdmission || d.Clients < 0 || d.Clients > maxAdmission:
		return errors.New("door.queue and door.clients must be between 0 and 65536")
	case len(c.Settings.Realms) == 0:
		return errors.New("door: there are no realms in the settings to share among")
	}
	return nil
}
