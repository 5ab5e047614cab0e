// Package directory keeps a scheduler on an edge or side machine informed: which core schedulers there are,
// who owns which shard, and the newest configuration. It subscribes to one core scheduler, its home, and
// goes on to another when that falls silent or has lost touch with the majority.
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

// Directory is what a scheduler knows of the system.
type Directory struct {
	process    *node.Process
	logger     logr.Logger
	wantConfig bool

	mu          sync.Mutex
	cores       []string
	owners      map[string]api.Owner
	digest      int64
	table       *clusterconfig.Table
	text        []byte // the configuration as it came
	version     int64
	confirmedAt time.Time // when the newest confirmed answer was asked for
	changed     chan struct{}
}

// New returns a Directory that knows the seeds. Configurations are told only where they are wanted.
func New(p *node.Process, wantConfig bool) *Directory {
	return &Directory{
		process: p, logger: p.Logger, wantConfig: wantConfig, owners: map[string]api.Owner{},
		changed: make(chan struct{}),
	}
}

// Run follows the system until the context ends.
func (d *Directory) Run(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		candidates := d.candidates()
		home := candidates[next%len(candidates)]
		if d.watch(ctx, home) {
			continue
		}
		next++
		select {
		case <-ctx.Done():
		case <-time.After(retryBackoff):
		}
	}
}

// candidates returns the core schedulers to subscribe to, the preferred one first.
func (d *Directory) candidates() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := slices.Clone(d.cores)
	for _, seed := range d.process.Current().SeedAddresses() {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	return rendezvous.Rank(d.process.Settings.Node, known)
}

// watch asks a core scheduler once. It reports whether its answer is of use.
func (d *Directory) watch(ctx context.Context, home string) bool {
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
	if err := d.process.Client.Call(call, home, api.MethodWatch, request, answer); err != nil {
		d.logger.V(1).Info("core scheduler unreachable", "address", home, "error", err.Error())
		return false
	}
	d.apply(answer, sentAt)
	return answer.Fresh
}

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
	if answer.Fresh && answer.ConfigVersion >= d.version {
		d.confirmedAt = sentAt
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// applyConfig takes a newer configuration, whole. The lock is held.
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
		d.text, d.version = nil, 0 // the next answer brings it whole
		return
	}
	d.text = text
	d.table = clusterconfig.NewTable(config)
	d.version = answer.ConfigVersion
	d.logger.V(1).Info("configuration applied", "version", d.version)
}

// completeText returns the whole configuration that an answer brings, as a text or as a patch on the one that is known.
func (d *Directory) completeText(answer *api.WatchResponse) ([]byte, error) {
	if answer.Base == 0 {
		return answer.Config, nil
	}
	if answer.Base != d.version || d.text == nil {
		return nil, fmt.Errorf("a patch on version %d came, %d is known", answer.Base, d.version)
	}
	return clusterconfig.Apply(d.text, answer.Config)
}

// Table returns the newest configuration, or nil, its version, and how long ago it was confirmed.
func (d *Directory) Table() (table *clusterconfig.Table, version int64, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table, d.version, time.Since(d.confirmedAt)
}

// Owner returns the address of a shard's owner, or "", and a channel that is closed when anything changes.
func (d *Directory) Owner(shard string) (string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owners[shard].Address, d.changed
}
