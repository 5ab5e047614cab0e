package core

import (
	"context"
	"time"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
)

const (
	configRegister = "config" // name of the register that holds the configuration

	maxPreviousConfigs = 8                      // number of earlier configurations kept to compute patches for subscribers
	configFreshnessTTL = 700 * time.Millisecond // period for which a quorum's confirmation remains valid
)

// configState is the newest configuration that this scheduler knows to be chosen.
type configState struct {
	record configRecord
	config *clusterconfig.Config

	routeByName     map[string]*clusterconfig.Route
	routeByEndpoint map[string]*clusterconfig.Route
	movedAt         map[string]int64 // by endpoint, the version that last ended a former route of it alone
	formerDigest    int64            // formerRoutesDigest of record.Former

	// patches caches the patches from earlier versions to this one, keyed by the earlier version. An entry is nil if no
	// patch exists.
	patches map[int64][]byte
}

// applyConfig applies a newer configuration to this scheduler and to the shards that it owns. c.mu is held.
func (c *Core) applyConfig(value []byte) {
	var record configRecord
	if err := avrocodec.Decode(value, &record); err != nil {
		c.logger.Error(err, "decoding the chosen configuration failed; the previous one remains in force")
		return
	}
	config, err := clusterconfig.Parse(record.Text)
	if err != nil {
		c.logger.Error(err, "parsing the chosen configuration failed; the previous one remains in force", "version", record.Version)
		return
	}
	if c.config != nil && c.config.record.Version != record.Version {
		c.previousConfigs = append(c.previousConfigs, c.config.record)
		if len(c.previousConfigs) > maxPreviousConfigs {
			c.previousConfigs = c.previousConfigs[1:]
		}
	}
	state := newConfigState(record, config)
	c.config = state
	for _, o := range c.owners {
		o.configure(state)
	}
	c.logger.V(1).Info("configuration applied", "version", state.record.Version)
}

// newConfigState returns the state of a configuration and its record.
func newConfigState(record configRecord, config *clusterconfig.Config) *configState {
	s := &configState{
		record: record, config: config, formerDigest: formerRoutesDigest(record.Former), patches: map[int64][]byte{},
		routeByName: map[string]*clusterconfig.Route{}, routeByEndpoint: map[string]*clusterconfig.Route{},
		movedAt: map[string]int64{},
	}
	for _, route := range record.Former {
		s.movedAt[route.Endpoint] = max(s.movedAt[route.Endpoint], route.Until)
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		s.routeByName[route.Name] = route
		s.routeByEndpoint[route.Endpoint()] = route
	}
	return s
}

// lastMove returns the version that last ended a former route of an endpoint.
func (s *configState) lastMove(endpoint string) int64 {
	return max(s.movedAt[endpoint], s.movedAt[clusterconfig.AnyEndpoint])
}

// currentConfig returns the newest known configuration, or nil if none is known.
func (c *Core) currentConfig() *configState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// ReadConfig implements controlplane.ConfigStore.
func (c *Core) ReadConfig(ctx context.Context) ([]byte, error) {
	if err := c.read(ctx, configRegister); err != nil {
		return nil, result.Errorf(result.Unavailable, "no quorum: %w", err)
	}
	state := c.currentConfig()
	if state == nil {
		return nil, result.Errorf(result.NotReady, "no configuration yet")
	}
	return state.record.Text, nil
}

// ChangeConfig implements controlplane.ConfigStore.
func (c *Core) ChangeConfig(ctx context.Context, patch bool, baseVersion int64, body []byte) error {
	_, err := c.propose(ctx, configRegister, newConfigChange(patch, baseVersion, body).apply)
	return err
}

// configFresh reports whether a quorum has confirmed the configuration within configFreshnessTTL.
func (c *Core) configFresh() bool {
	return time.Since(c.confirmedAt(configRegister)) < configFreshnessTTL
}
