package core

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
)

// maxHistory is the number of applied changes that the register records in order to recognize retries. A change whose base
// version precedes all of them is rejected with result.OutcomeUnknown, since it may have been applied.
const maxHistory = 512

// configRecord is the value of the configuration register.
type configRecord struct {
	Version int64
	Text    []byte          // JSON as sent by the operator, with later patches applied
	History []appliedChange // newest maxHistory applied changes, oldest first

	// Former has the routes of earlier configurations whose jobs may still be known, oldest first.
	Former []clusterconfig.FormerRoute `avrocodec:"added"`
}

// appliedChange identifies a change that was applied. A call repeats it only if both fields are equal: the same text on another
// base version is another change.
type appliedChange struct {
	Base   int64 // version to which the change was applied
	Digest int64 // configChange.digest
}

// configChange is an operator's change of the configuration.
type configChange struct {
	patch       bool   // whether body is a patch rather than a complete configuration
	baseVersion int64  // version that the change replaces
	body        []byte // configuration or patch
	digest      int64  // identifies the kind and the body of the change across retries
}

// patchPrefix distinguishes the hashed text of a patch from that of a complete configuration, which cannot begin with it.
const patchPrefix = "patch "

// newConfigChange returns a change whose digest is the first 8 bytes, in little-endian order, of the SHA-256 hash of the
// body. For a patch the hashed text is the body with the prefix patchPrefix.
func newConfigChange(patch bool, baseVersion int64, body []byte) *configChange {
	hash := sha256.New()
	if patch {
		hash.Write([]byte(patchPrefix))
	}
	hash.Write(body)
	return &configChange{
		patch: patch, baseVersion: baseVersion, body: body, digest: int64(binary.LittleEndian.Uint64(hash.Sum(nil))),
	}
}

// apply is the compare-and-swap function of the change: it returns the register's next value for the current one. For a
// change that was already applied it returns the current value and no error. Its errors have the code result.Conflict,
// result.Invalid or result.OutcomeUnknown, or result.Unavailable if the current value cannot be decoded.
func (o *configChange) apply(current []byte) ([]byte, error) {
	var record configRecord
	if current != nil {
		if err := avrocodec.Decode(current, &record); err != nil {
			return nil, result.Errorf(result.Unavailable, "current configuration: %w", err)
		}
	}
	if o.wasApplied(&record) {
		return current, nil
	}
	text, err := o.nextText(&record)
	if err != nil {
		return nil, err
	}
	next, err := parseValidConfig(text)
	if err != nil {
		return nil, err
	}
	if o.baseVersion != record.Version {
		return nil, o.conflictError(&record)
	}
	if next.Version <= record.Version {
		return nil, result.Errorf(result.Invalid, "version: %d is not above %d", next.Version, record.Version)
	}
	former, err := record.formerRoutesUnder(next)
	if err != nil {
		return nil, err
	}
	history := append(record.History, appliedChange{o.baseVersion, o.digest})
	if len(history) > maxHistory {
		history = history[len(history)-maxHistory:]
	}
	return avrocodec.Encode(&configRecord{Version: next.Version, Text: text, History: history, Former: former})
}

// formerRoutesUnder returns the former routes once the next configuration is in force.
func (r *configRecord) formerRoutesUnder(next *clusterconfig.Config) ([]clusterconfig.FormerRoute, error) {
	if r.Version == 0 {
		return nil, nil
	}
	current, err := clusterconfig.Parse(r.Text)
	if err != nil {
		return nil, result.Errorf(result.Unavailable, "current configuration: %w", err)
	}
	return clusterconfig.NextFormerRoutes(r.Former, current, next), nil
}

// wasApplied reports whether the change is the repetition of one in the history: the same kind of change, with the same body, to the
// same base version.
func (o *configChange) wasApplied(record *configRecord) bool {
	if !o.patch && bytes.HasPrefix(o.body, []byte(patchPrefix)) {
		return false // not a configuration; the digest is that of a patch
	}
	return slices.Contains(record.History, appliedChange{o.baseVersion, o.digest})
}

// nextText returns the text of the configuration after the change. A patch must have the current version as its base.
func (o *configChange) nextText(record *configRecord) ([]byte, error) {
	if !o.patch {
		return o.body, nil
	}
	if o.baseVersion != record.Version || record.Version == 0 {
		return nil, o.conflictError(record)
	}
	text, err := clusterconfig.Apply(record.Text, o.body)
	if err != nil {
		return nil, result.Errorf(result.Invalid, "patch: %w", err)
	}
	return text, nil
}

// parseValidConfig parses and validates the text of a configuration.
func parseValidConfig(text []byte) (*clusterconfig.Config, error) {
	if len(text) > clusterconfig.MaxBytes {
		return nil, result.Errorf(result.Invalid, "configuration: %d bytes, %d at most", len(text), clusterconfig.MaxBytes)
	}
	config, err := clusterconfig.Parse(text)
	if err == nil {
		err = config.Validate()
	}
	if err != nil {
		return nil, result.Errorf(result.Invalid, "configuration: %w", err)
	}
	return config, nil
}

// conflictError returns the error for a change whose base version is not the current one. If the base version precedes the
// history, it is unknown whether the change was applied.
func (o *configChange) conflictError(record *configRecord) error {
	if len(record.History) == maxHistory && o.baseVersion < record.History[0].Base {
		return result.Errorf(result.OutcomeUnknown, "If-Match: version %d is current; what was taken on %d is not known any more",
			record.Version, o.baseVersion)
	}
	return result.Errorf(result.Conflict, "If-Match: version %d is current, %d came", record.Version, o.baseVersion)
}
