// Package dispatchconfig reads and checks the scheduler's configuration: the platform's file, which
// EDGE_CONFIG names, or an operator's file.
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
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Ops       string          `json:"ops"`       // the operators' address; empty: none
	Discovery string          `json:"discovery"` // empty: the list in Known is used
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     *discovery.List `json:"known"`

	// PeerListen is the UDP address of this scheduler, Peers those of all schedulers of the site by number, its own
	// included. Empty: the scheduler exchanges no datagrams.
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`

	Settings Settings `json:"settings"`

	// The fields up to PeerWatch come from an operator's file alone.
	Revision  uint32     `json:"-"` // the operator's revision number of the configuration; 0: none
	SSE       *SSE       `json:"-"`
	Journal   *Journal   `json:"-"`
	Web       *Web       `json:"-"`
	Admission *Admission `json:"-"`
	Planners  int        `json:"-"`
	Loops     int        `json:"-"`
	// PeerWatch has the schedulers keep track of their membership.
	PeerWatch bool `json:"-"`

	Source []byte `json:"-"` // the platform's file; nil: not of such a file

	keys map[string]bool // that the platform's file has; nil: not of such a file
}

// Limits are what the process may use of its machine; 0: no limit is set.
type Limits struct {
	Cores    float64 `json:"cores" toml:"cores,omitempty"`
	MemoryMB int     `json:"memory_mb" toml:"memory_mb,omitempty"`
	Sockets  int     `json:"sockets" toml:"sockets,omitempty"` // open descriptors
}

// FromEnv reads the platform's configuration. The single variables stand in only
// for what the file lacks: the file can be replaced while the program runs, the
// variables cannot.
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

// FromSource reads and checks a platform's configuration that has been read from a
// file, here or by another process.
func FromSource(b []byte) (*Config, error) {
	c, err := Parse(b)
	if err != nil {
		return nil, err
	}
	c.Source = b
	for _, v := range []struct {
		name string
		to   *string
	}{{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen}, {"EDGE_DISCOVERY", &c.Discovery}, {"EDGE_OPS", &c.Ops}} {
		if *v.to == "" {
			*v.to = os.Getenv(v.name)
		}
	}
	return c, c.Check()
}

// Parse reads a configuration; Check is still to be called.
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

// collectKeys collects the paths of an object's keys. Of a list it has those which all
// of its objects share.
func collectKeys(v any, path string, into map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		for k, inner := range v {
			into[path+k] = true
			collectKeys(inner, path+k+".", into)
		}
	case []any:
		counts := map[string]int{}
		for _, inner := range v {
			one := map[string]bool{}
			collectKeys(inner, path, one)
			for k := range one {
				counts[k]++
			}
		}
		for k, n := range counts {
			if n == len(v) {
				into[k] = true
			}
		}
	}
}

// CheckReplaces returns an error unless this configuration can take the place of the one
// before: it must have each key that that one has, but for those of workers. A file
// that lacks one was truncated, or is not a configuration of this program.
func (c *Config) CheckReplaces(before *Config) error {
	var missing []string
	for k := range before.keys {
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

// Check returns an error for a configuration that cannot serve.
func (c *Config) Check() error {
	switch {
	case c.Listen == "" && c.Web == nil:
		return errors.New("no address to listen on")
	case c.Known == nil:
		return errors.New("no list of known workers")
	case len(c.Settings.Classes) == 0:
		return errors.New("no class in the settings")
	case c.keys["settings.bounds.max_attempts"] && c.Settings.Bounds.MaxAttempts <= 0, c.Settings.Bounds.MaxAttempts < 0:
		return errors.New("max_attempts must be above 0")
	}
	if err := c.Known.Validate(); err != nil {
		return err
	}
	if err := c.checkOperator(); err != nil {
		return err
	}
	if _, err := c.PeerPlan(); err != nil {
		return err
	}
	m, err := c.Settings.ModuleSettings(max(1, c.Planners))
	if err != nil {
		return err
	}
	return m.Validate()
}

// SeedNumber returns the seed as a number.
func (c *Config) SeedNumber() uint64 {
	if v, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Seed))
	return h.Sum64()
}
