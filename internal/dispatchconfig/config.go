// Package dispatchconfig reads and validates the configuration of a scheduler process. The
// configuration is either the platform's JSON file, named by EDGE_CONFIG, or an operator's TOML
// file.
package dispatchconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strconv"
	"strings"

	"sedgevale/internal/discovery"
)

// Config is the configuration of one scheduler process.
type Config struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`
	Ops          string          `json:"ops"`       // address for operators; empty if there is none
	Discovery    string          `json:"discovery"` // address of the discovery service; if empty, the list in KnownWorkers is used
	Seed         string          `json:"seed"`
	Limits       Limits          `json:"limits"`
	KnownWorkers *discovery.List `json:"known"`

	// PeerListen is the UDP address of this scheduler. Peers holds the UDP addresses of all schedulers of the site,
	// including this one, by their number. If Peers is empty, the scheduler exchanges no datagrams.
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`

	Settings Settings `json:"settings"`

	// The fields from Revision to FailureDetection are set only from an operator's file.
	Revision      uint32        `json:"-"` // the operator's revision number of the configuration; 0 if there is none
	SSE           *SSE          `json:"-"`
	Journal       *Journal      `json:"-"`
	Web           *Web          `json:"-"`
	Admission     *Admission    `json:"-"`
	ResourceQuota ResourceQuota `json:"-"`
	Planners      int           `json:"-"`
	EventLoops    int           `json:"-"`
	// FailureDetection enables failure detection among the schedulers of the site.
	FailureDetection bool `json:"-"`

	Source []byte `json:"-"` // content of the platform's file; nil for an operator's file

	keys map[string]bool // paths of the keys in the platform's file; nil for an operator's file
}

// Limits are the machine resources that the process may use. A value of 0 means no limit.
type Limits struct {
	Cores    float64 `json:"cores" toml:"cores,omitempty"`
	MemoryMB int     `json:"memory_mb" toml:"memory_mb,omitempty"`
	Sockets  int     `json:"sockets" toml:"sockets,omitempty"` // number of open file descriptors
}

// FromEnv reads the platform's configuration from the file that EDGE_CONFIG names. The
// other variables, such as EDGE_LISTEN, apply only to keys that the file lacks: the file can
// be replaced while the process runs, the variables cannot.
func FromEnv() (*Config, error) {
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := FromSource(b)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG %s: %w", path, err)
	}
	return c, nil
}

// FromSource parses and validates the content of the platform's file, which may have been
// read by another process.
func FromSource(b []byte) (*Config, error) {
	c, err := Parse(b)
	if err != nil {
		return nil, err
	}
	c.Source = b
	for _, v := range []struct {
		name string
		dest *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Discovery}, {"EDGE_OPS", &c.Ops}} {
		if *v.dest == "" {
			*v.dest = os.Getenv(v.name)
		}
	}
	return c, c.Check()
}

// Parse parses the content of the platform's file without validating it; see [Config.Check].
func Parse(b []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, err
	}
	var tree any
	if err := json.Unmarshal(b, &tree); err != nil {
		return nil, err
	}
	c.keys = map[string]bool{}
	collectKeys(tree, "", c.keys)
	return &c, nil
}

// collectKeys adds the paths of all keys of a JSON value to keys. Of the objects in a list,
// only the keys that all of them have are added.
func collectKeys(value any, path string, keys map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for k, child := range value {
			keys[path+k] = true
			collectKeys(child, path+k+".", keys)
		}
	case []any:
		counts := map[string]int{}
		for _, element := range value {
			elementKeys := map[string]bool{}
			collectKeys(element, path, elementKeys)
			for k := range elementKeys {
				counts[k]++
			}
		}
		for k, n := range counts {
			if n == len(value) {
				keys[k] = true
			}
		}
	}
}

// CheckReplaces returns an error unless this configuration may replace the previous one at a
// reload: it must have each key of the previous file, except the keys of workers. A file that
// lacks a key has been truncated or is not a configuration of this program.
func (c *Config) CheckReplaces(previous *Config) error {
	var missing []string
	for k := range previous.keys {
		if !c.keys[k] && !strings.HasPrefix(k, "known.members.") {
			missing = append(missing, k)
		}
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		return fmt.Errorf("keys are missing: %s", strings.Join(missing, ", "))
	}
	return nil
}

// Check validates the configuration and returns the first error.
func (c *Config) Check() error {
	switch {
	case c.Listen == "" && c.Web == nil:
		return errors.New("no address to listen on")
	case c.KnownWorkers == nil:
		return errors.New("no list of known workers")
	case len(c.Settings.Classes) == 0:
		return errors.New("no class in the settings")
	case c.keys["settings.bounds.max_attempts"] && c.Settings.Bounds.MaxAttempts <= 0, c.Settings.Bounds.MaxAttempts < 0:
		return errors.New("max_attempts must be above 0")
	}
	if err := c.KnownWorkers.Validate(); err != nil {
		return err
	}
	if err := c.checkOperator(); err != nil {
		return err
	}
	if _, err := c.PeerConfig(); err != nil {
		return err
	}
	settings, err := c.Settings.DispatcherSettings(max(1, c.Planners))
	if err != nil {
		return err
	}
	return settings.Validate()
}

// SeedNumber returns the seed as a number: its value if it is a hexadecimal number of up to
// 64 bits, else a hash of it.
func (c *Config) SeedNumber() uint64 {
	if v, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Seed))
	return h.Sum64()
}
