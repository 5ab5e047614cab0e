package core

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
)

const (
	configRegister = "config" // the name of the configuration's register

	// maxHistory is how many changes are remembered, so that a retry is distinguished from a new change. A change on a version
	// from before them is answered with result.OutcomeUnknown: it may have been made.
	maxHistory = 512

	maxPreviousConfigs = 8                      // kept so that subscribers can be sent a patch
	configFreshnessTTL = 700 * time.Millisecond // how long a quorum's confirmation counts
)

// configRecord is the value of the configuration's register.
type configRecord struct {
	Version int64
	Text    []byte          // JSON, as the operator sent it, or with patches applied
	History []appliedChange // the newest maxHistory changes, the oldest first
}

// appliedChange identifies a change that was made.
type appliedChange struct {
	Base   int64 // the version that it was made on
	Digest int64 // operatorChange.digest
}

// configState is the newest configuration that this scheduler knows to be chosen.
type configState struct {
	record configRecord
	config *clusterconfig.Config

	patches map[int64][]byte // by the earlier version to which they apply, computed on demand; nil where there is no patch
}

// operatorChange is an operator's change of the configuration.
type operatorChange struct {
	patch       bool
	baseVersion int64  // the version that it is made on
	body        []byte // a configuration or a patch
	digest      int64  // identifies it
}

// newOperatorChange returns a change whose digest is the first 8 bytes, little endian, of the SHA-256 of its body, for a patch
// after "patch ".
func newOperatorChange(patch bool, baseVersion int64, body []byte) *operatorChange {
	hash := sha256.New()
	if patch {
		hash.Write([]byte("patch "))
	}
	hash.Write(body)
	return &operatorChange{
		patch: patch, baseVersion: baseVersion, body: body, digest: int64(binary.LittleEndian.Uint64(hash.Sum(nil))),
	}
}

// apply is the compare-and-swap: it returns the register's next value for the current one. A change that was made before
// leaves the value as it is and is no error. Errors have the codes result.Conflict, result.Invalid and
// result.OutcomeUnknown, and result.Unavailable where the current value cannot be decoded.
func (o *operatorChange) apply(current []byte) ([]byte, error) {
	var record configRecord
	if current != nil {
		if err := avrocodec.Decode(current, &record); err != nil {
			return nil, result.Errorf(result.Unavailable, "current configuration: %w", err)
		}
	}
	for _, made := range record.History {
		if made.Digest == o.digest {
			return current, nil
		}
	}
	text := o.body
	if o.patch {
		if o.baseVersion != record.Version || record.Version == 0 {
			return nil, o.conflictError(&record)
		}
		patched, err := clusterconfig.Apply(record.Text, o.body)
		if err != nil {
			return nil, result.Errorf(result.Invalid, "patch: %w", err)
		}
		text = patched
	}
	config, err := clusterconfig.Parse(text)
	if err == nil {
		err = config.Validate()
	}
	if err != nil {
		return nil, result.Errorf(result.Invalid, "configuration: %w", err)
	}
	if o.baseVersion != record.Version {
		return nil, o.conflictError(&record)
	}
	if config.Version <= record.Version {
		return nil, result.Errorf(result.Invalid, "version: %d is not above %d", config.Version, record.Version)
	}
	history := append(record.History, appliedChange{o.baseVersion, o.digest})
	if len(history) > maxHistory {
		history = history[len(history)-maxHistory:]
	}
	return avrocodec.Encode(&configRecord{Version: config.Version, Text: text, History: history})
}

// conflictError is the answer to a change that is made on another version than the current one. Which change was made on a
// version from before the history is not known.
func (o *operatorChange) conflictError(record *configRecord) error {
	if len(record.History) == maxHistory && o.baseVersion < record.History[0].Base {
		return result.Errorf(result.OutcomeUnknown, "If-Match: version %d is current; what was taken on %d is not known any more",
			record.Version, o.baseVersion)
	}
	return result.Errorf(result.Conflict, "If-Match: version %d is current, %d came", record.Version, o.baseVersion)
}

// applyConfig puts a newer configuration in force. c.mu is held.
func (c *Core) applyConfig(value []byte) {
	state := &configState{patches: map[int64][]byte{}}
	if err := avrocodec.Decode(value, &state.record); err != nil {
		c.logger.Error(err, "configuration cannot be decoded")
		return
	}
	config, err := clusterconfig.Parse(state.record.Text)
	if err != nil {
		c.logger.Error(err, "configuration cannot be decoded", "version", state.record.Version)
		return
	}
	if c.config != nil {
		c.previousConfigs = append(c.previousConfigs, c.config.record)
		if len(c.previousConfigs) > maxPreviousConfigs {
			c.previousConfigs = c.previousConfigs[1:]
		}
	}
	state.config = config
	c.config = state
	for _, o := range c.owners {
		o.configure(state)
	}
	c.logger.V(1).Info("configuration applied", "version", state.record.Version)
}

// currentConfig returns the newest configuration that is known, or nil.
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
	_, err := c.propose(ctx, configRegister, newOperatorChange(patch, baseVersion, body).apply)
	return err
}

// configFresh reports whether a quorum has confirmed the configuration within configFreshnessTTL.
func (c *Core) configFresh() bool {
	return time.Since(c.confirmedAt(configRegister)) < configFreshnessTTL
}
