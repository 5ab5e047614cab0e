// Package directory caches the state of the core on edge and side machines: the addresses of the core schedulers, the
// owners of the shards and the current cluster configuration. It watches one core scheduler with long polls, and fails over
// to another when a poll fails or the core scheduler has lost its quorum.
package directory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/coord/rendezvous"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/node"
)

const (
	longPollDuration = 500 * time.Millisecond
	watchTimeout     = longPollDuration + 400*time.Millisecond
	retryBackoff     = 60 * time.Millisecond
)

// noFormerRoutes is the digest to send while no former routes are known. It equals no digest of former routes, and it is not 0,
// which would mean that the sender does not support them.
const noFormerRoutes = 2

// Directory is a cache of the state of the core. It is safe for concurrent use.
type Directory struct {
	process    *node.Process
	logger     logr.Logger
	wantConfig bool

	// mu guards the fields below. It is not held during a remote call.
	mu           sync.Mutex
	cores        []string             // addresses of the core schedulers, from the last response that contained any
	owners       map[string]api.Owner // by shard; the fencing token of a shard never decreases
	ownersDigest int64                // OwnersDigest of the last response
	table        *clusterconfig.Table // nil if no configuration is known, or none is wanted
	text         []byte               // JSON text of the configuration; nil if none is known
	version      int64                // version of the configuration; 0 if none is known
	former       []clusterconfig.FormerRoute
	formerDigest int64         // FormerDigest of the response with former; noFormerRoutes if there was none
	confirmedAt  time.Time     // send time of the last request whose response confirmed the configuration as the newest
	updated      chan struct{} // closed and replaced on each response
}

// New returns a Directory that initially knows only the seeds. If wantConfig is false, it tracks only the version of the
// configuration.
func New(p *node.Process, wantConfig bool) *Directory {
	return &Directory{
		process: p, logger: p.Logger, wantConfig: wantConfig, owners: map[string]api.Owner{},
		updated: make(chan struct{}), formerDigest: noFormerRoutes,
	}
}

// Run keeps the directory up to date until ctx is cancelled.
func (d *Directory) Run(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		candidates := d.candidates()
		target := candidates[next%len(candidates)]
		if d.watch(ctx, target) {
			continue
		}
		next++
		backoff := time.NewTimer(retryBackoff)
		select {
		case <-ctx.Done():
		case <-backoff.C:
		}
		backoff.Stop()
	}
}

// candidates returns the addresses of the known core schedulers and of the seeds in the order of preference, by rendezvous
// hashing of the node's name.
func (d *Directory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := slices.Clone(d.cores)
	for _, seed := range d.process.CurrentSettings().SeedAddresses() {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return rendezvous.Rank(d.process.Settings.Node, addresses)
}

// watch sends one long poll to a core scheduler. It reports whether the response was confirmed by a quorum.
func (d *Directory) watch(ctx context.Context, target string) bool {
	d.mu.Lock()
	request := &api.WatchRequest{
		Node: d.process.Settings.Node, ConfigVersion: d.version, WantConfig: d.wantConfig, OwnersDigest: d.ownersDigest,
		WaitMS: longPollDuration.Milliseconds(), FormerDigest: d.formerDigest,
	}
	stale := time.Since(d.confirmedAt) > watchTimeout
	d.mu.Unlock()
	if stale {
		request.WaitMS = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	sentAt := time.Now()
	response := &api.WatchResponse{}
	if err := d.process.Client.Call(callCtx, target, api.MethodWatch, request, response); err != nil {
		d.logger.V(1).Info("failed to watch core scheduler; trying the next one", "address", target, "error", err.Error())
		return false
	}
	d.apply(response, sentAt)
	return response.Confirmed
}

// apply updates the directory with everything that is newer in the response to a request that was sent at sentAt.
func (d *Directory) apply(response *api.WatchResponse, sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(response.Cores) > 0 {
		d.cores = response.Cores
	}
	for _, o := range response.Owners {
		if o.Token >= d.owners[o.Shard].Token {
			d.owners[o.Shard] = o
		}
	}
	d.ownersDigest = response.OwnersDigest
	if response.ConfigVersion > d.version {
		d.applyConfig(response)
	} else if response.ConfigVersion == d.version && d.table != nil && d.applyFormerRoutes(response) {
		d.table = clusterconfig.NewTable(d.table.Config, d.former)
	}
	if response.Confirmed && response.ConfigVersion >= d.version {
		d.confirmedAt = sentAt
	}
	close(d.updated)
	d.updated = make(chan struct{})
}

// applyConfig applies a newer configuration. The caller holds d.mu.
func (d *Directory) applyConfig(response *api.WatchResponse) {
	if !d.wantConfig {
		d.version = response.ConfigVersion
		return
	}
	if len(response.Config) == 0 {
		return
	}
	text, err := d.fullConfigText(response)
	var config *clusterconfig.Config
	if err == nil {
		config, err = clusterconfig.Parse(text)
	}
	if err != nil {
		d.logger.Error(err, "failed to apply configuration; requesting the full text", "version", response.ConfigVersion)
		d.text, d.version = nil, 0 // the next response contains the full text
		return
	}
	d.text = text
	d.applyFormerRoutes(response)
	d.table = clusterconfig.NewTable(config, d.former)
	d.version = response.ConfigVersion
	d.logger.V(1).Info("applied configuration", "version", d.version)
}

// applyFormerRoutes keeps the former routes in a response and reports whether it has any that were not known. The caller holds d.mu.
func (d *Directory) applyFormerRoutes(response *api.WatchResponse) bool {
	if response.FormerDigest == 0 || response.FormerDigest == d.formerDigest {
		return false
	}
	d.former, d.formerDigest = response.Former, response.FormerDigest
	return true
}

// fullConfigText returns the full text of the configuration in a response, which contains either the full text or a patch
// against the known configuration. The caller holds d.mu.
func (d *Directory) fullConfigText(response *api.WatchResponse) ([]byte, error) {
	if response.ConfigBase == 0 {
		return response.Config, nil
	}
	if response.ConfigBase != d.version || d.text == nil {
		return nil, fmt.Errorf("patch applies to version %d, but version %d is known", response.ConfigBase, d.version)
	}
	return clusterconfig.Apply(d.text, response.Config)
}

// Table returns the routing table of the current configuration (nil if there is none), its version, and the time since it
// was last confirmed by a quorum.
func (d *Directory) Table() (table *clusterconfig.Table, version int64, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table, d.version, time.Since(d.confirmedAt)
}

// Updated returns a channel that is closed on the next response of a core scheduler.
func (d *Directory) Updated() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updated
}

// Owner returns the address of a shard's owner, or "" if it is unknown, and a channel that is closed on the next response
// of a core scheduler.
func (d *Directory) Owner(shard string) (string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owners[shard].Address, d.updated
}
