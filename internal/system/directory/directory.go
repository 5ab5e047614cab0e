// Package directory keeps a scheduler on an edge or side machine informed of the core: which core schedulers there are, who
// owns which shard, and the newest configuration. It subscribes to one core scheduler by long polls, and fails over to
// another when that times out or has lost its quorum.
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

// Directory is what a scheduler knows of the core. Its methods may be called concurrently.
type Directory struct {
	process    *node.Process
	logger     logr.Logger
	wantConfig bool

	// mu guards the fields below. It is never held over a call.
	mu          sync.Mutex
	cores       []string             // the addresses of the core schedulers, as named by the last answer that named any
	owners      map[string]api.Owner // by shard; fencing tokens never fall
	digest      int64                // of the owners and core schedulers in the last answer
	table       *clusterconfig.Table // nil where no configuration is known or wanted
	text        []byte               // of the configuration, as it came; nil where none is known
	version     int64                // of the configuration; 0 where none is known
	confirmedAt time.Time            // when the newest answer that a quorum had confirmed was asked for
	changed     chan struct{}        // closed and made anew at each answer
}

// New returns a Directory that knows the seeds. Without wantConfig it receives versions of the configuration only.
func New(p *node.Process, wantConfig bool) *Directory {
	return &Directory{
		process: p, logger: p.Logger, wantConfig: wantConfig, owners: map[string]api.Owner{},
		changed: make(chan struct{}),
	}
}

// Run keeps the directory up to date until the context ends.
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

// candidates returns the core schedulers to subscribe to, the preferred one first.
func (d *Directory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := slices.Clone(d.cores)
	for _, seed := range d.process.CurrentSettings().SeedAddresses() {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	return rendezvous.Rank(d.process.Settings.Node, known)
}

// watch makes one long poll of a core scheduler. It reports whether the answer was confirmed by a quorum.
func (d *Directory) watch(ctx context.Context, target string) bool {
	d.mu.Lock()
	request := &api.WatchRequest{
		Node: d.process.Settings.Node, ConfigVersion: d.version, WantConfig: d.wantConfig, OwnersDigest: d.digest,
		WaitMS: longPollDuration.Milliseconds(),
	}
	stale := time.Since(d.confirmedAt) > watchTimeout
	d.mu.Unlock()
	if stale {
		request.WaitMS = 0
	}
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	sentAt := time.Now()
	answer := &api.WatchResponse{}
	if err := d.process.Client.Call(call, target, api.MethodWatch, request, answer); err != nil {
		d.logger.V(1).Info("core scheduler unreachable", "address", target, "error", err.Error())
		return false
	}
	d.apply(answer, sentAt)
	return answer.Confirmed
}

// apply takes over what is newer in an answer to a request that was sent at the time given.
func (d *Directory) apply(answer *api.WatchResponse, sentAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(answer.Cores) > 0 {
		d.cores = answer.Cores
	}
	for _, o := range answer.Owners {
		if o.Token >= d.owners[o.Shard].Token {
			d.owners[o.Shard] = o
		}
	}
	d.digest = answer.OwnersDigest
	if answer.ConfigVersion > d.version {
		d.applyConfig(answer)
	}
	if answer.Confirmed && answer.ConfigVersion >= d.version {
		d.confirmedAt = sentAt
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// applyConfig takes a newer configuration. d.mu is held.
func (d *Directory) applyConfig(answer *api.WatchResponse) {
	if !d.wantConfig {
		d.version = answer.ConfigVersion
		return
	}
	if len(answer.Config) == 0 {
		return
	}
	text, err := d.completeText(answer)
	var config *clusterconfig.Config
	if err == nil {
		config, err = clusterconfig.Parse(text)
	}
	if err != nil {
		d.logger.Error(err, "configuration cannot be decoded", "version", answer.ConfigVersion)
		d.text, d.version = nil, 0 // the next answer brings all of it
		return
	}
	d.text = text
	d.table = clusterconfig.NewTable(config)
	d.version = answer.ConfigVersion
	d.logger.V(1).Info("configuration applied", "version", d.version)
}

// completeText returns the configuration that an answer brings, as its text or as a patch on the one that is known. d.mu is
// held.
func (d *Directory) completeText(answer *api.WatchResponse) ([]byte, error) {
	if answer.ConfigBase == 0 {
		return answer.Config, nil
	}
	if answer.ConfigBase != d.version || d.text == nil {
		return nil, fmt.Errorf("a patch on version %d came, %d is known", answer.ConfigBase, d.version)
	}
	return clusterconfig.Apply(d.text, answer.Config)
}

// Table returns the newest configuration, or nil, its version, and how long ago it was confirmed.
func (d *Directory) Table() (table *clusterconfig.Table, version int64, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table, d.version, time.Since(d.confirmedAt)
}

// Owner returns the address of a shard's owner, or "", and a channel that is closed at the next answer of a core scheduler.
func (d *Directory) Owner(shard string) (string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owners[shard].Address, d.changed
}
