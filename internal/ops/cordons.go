package ops

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"sync"
)

// Cordons is the set of cordoned workers, by their ids. It is stored in a file and survives
// restarts of the process.
type Cordons struct {
	path string
	mu   sync.Mutex // guards set and serializes writes of the file
	set  map[string]bool
}

// ReadCordons reads the set from a file. A missing file yields an empty set. If the file cannot be
// read or parsed, ReadCordons returns an error together with an empty set that can be used.
func ReadCordons(path string) (*Cordons, error) {
	c := &Cordons{path: path, set: map[string]bool{}}
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	var hosts []string
	if err == nil {
		err = json.Unmarshal(b, &hosts)
	}
	if err != nil {
		return c, fmt.Errorf("reading cordons from %s: %w", path, err)
	}
	for _, h := range hosts {
		c.set[h] = true
	}
	return c, nil
}

// Hosts returns the sorted ids of the cordoned workers.
func (c *Cordons) Hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts()
}

func (c *Cordons) hosts() []string {
	hosts := make([]string, 0, len(c.set))
	for h := range c.set {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}

// Has reports whether a worker is cordoned.
func (c *Cordons) Has(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set[host]
}

// Set cordons a worker, or uncordons it if cordon is false, and saves the set. The file is
// replaced atomically. If Set returns an error, the set has changed but the file has not.
func (c *Cordons) Set(host string, cordon bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delete(c.set, host); cordon {
		c.set[host] = true
	}
	b, err := json.Marshal(c.hosts())
	if err != nil {
		return fmt.Errorf("saving cordons: %w", err)
	}
	tempPath := fmt.Sprintf("%s.%d", c.path, os.Getpid())
	if err := os.WriteFile(tempPath, b, 0o600); err != nil {
		return fmt.Errorf("saving cordons: %w", err)
	}
	if err := os.Rename(tempPath, c.path); err != nil {
		return fmt.Errorf("saving cordons: %w", err)
	}
	return nil
}
