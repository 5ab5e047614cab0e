package core

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
)

// maxHistory is how many changes are remembered, so that one that is sent again is told from a new one. An order that
// builds on a version from before them is left without a clear answer: it may have been taken.
const maxHistory = 512

// maxPreviousConfigs is how many earlier configurations are kept, to tell subscribers just what differs.
const maxPreviousConfigs = 8

// configRecord is the value of the configuration's register.
type configRecord struct {
	Version int64
	Text    []byte // as the operator sent it, or as patches made it
	History []appliedChange
}

// appliedChange names a change that was taken.
type appliedChange struct {
	Base   int64 // the version that it built on
	Digest int64 // of the order
}

// configState is the newest configuration that this scheduler knows to be chosen.
type configState struct {
	record configRecord
	config *clusterconfig.Config
	table  *clusterconfig.Table

	patches map[int64][]byte // that make it of earlier versions, as far as anybody asked; nil for one that is not possible
}

// operatorChange is an operator's order.
type operatorChange struct {
	patch       bool
	baseVersion int64 // the version that it builds on
	body        []byte
	digest      int64
}

func newOperatorChange(patch bool, match int64, body []byte) *operatorChange {
	hash := sha256.New()
	if patch {
		hash.Write([]byte("patch "))
	}
	hash.Write(body)
	return &operatorChange{patch: patch, baseVersion: match, body: body, digest: int64(binary.LittleEndian.Uint64(hash.Sum(nil)))}
}

// apply is the compare-and-swap: it returns the register's next value, or why there is none. A change that
// was taken before leaves the value as it is and is no error.
func (o *operatorChange) apply(current []byte) ([]byte, error) {
	var record configRecord
	if current != nil {
		if err := avrocodec.Decode(current, &record); err != nil {
			return nil, result.Errorf(result.Unavailable, "current configuration: %w", err)
		}
	}
	for _, taken := range record.History {
		if taken.Digest == o.digest {
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
		err = config.Check()
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

// conflictError is the answer to an order that builds on another version than the current one. Of a version from before the
// history it is not known which order was taken on it.
func (o *operatorChange) conflictError(record *configRecord) error {
	if len(record.History) == maxHistory && o.baseVersion < record.History[0].Base {
		return result.Errorf(result.OutcomeUnknown, "If-Match: version %d is current; what was taken on %d is not known any more",
			record.Version, o.baseVersion)
	}
	return result.Errorf(result.Conflict, "If-Match: version %d is current, %d came", record.Version, o.baseVersion)
}

// applyConfig takes a newer configuration. The lock is held.
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
	state.table = clusterconfig.NewTable(config)
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

const configFreshnessTTL = 700 * time.Millisecond // a quorum's word counts for so long

// configFresh reports whether a quorum has confirmed the configuration a moment ago.
func (c *Core) configFresh() bool {
	return time.Since(c.confirmedAt(configRegister)) < configFreshnessTTL
}
