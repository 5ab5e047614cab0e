package dispatchconfig

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"sedgevale/internal/discovery"
)

// File is the TOML file of an operator. It holds the settings of the platform's file, the
// workers, and settings that the platform's file does not have.
type File struct {
	Name string `toml:"name"`
	// Revision is a number that the operator increments with each change of the file; 0 if unused.
	Revision  uint32 `toml:"revision,omitempty"`
	Listen    string `toml:"listen"`
	Ops       string `toml:"ops,omitempty"`
	Discovery string `toml:"discovery,omitempty"`
	// PeerListen is the UDP address of this scheduler. Peers holds the UDP addresses of all schedulers, including this one.
	PeerListen string   `toml:"peer_listen,omitempty"`
	Peers      []string `toml:"peers,omitempty"`

	Seed          string             `toml:"seed,omitempty"`
	Planners      int                `toml:"planners,omitempty"`
	Loops         int                `toml:"loops,omitempty"`
	Limits        Limits             `toml:"limits"`
	SSE           *SSE               `toml:"sse,omitempty"`
	Journal       *Journal           `toml:"journal,omitempty"`
	Web           *Web               `toml:"web,omitempty"`
	Admission     *Admission         `toml:"door,omitempty"`
	Settings      Settings           `toml:"settings"`
	Workers       []discovery.Member `toml:"workers"`
	ResourceQuota ResourceQuota      `toml:"resource_quota,omitempty"`
}

// ResourceQuota bounds what the process holds for clients.
type ResourceQuota struct {
	RequestMB int `toml:"request_mb,omitempty"` // memory for requests and responses in MiB; 0 means a quarter of limits.memory_mb
}

// SSE configures the frontend for server-sent events.
type SSE struct {
	Listen    string  `toml:"listen"`
	Heartbeat float64 `toml:"heartbeat_s,omitempty"` // seconds between comments on an idle stream; 0 means the default
	Retain    float64 `toml:"retain_s,omitempty"`    // seconds for which a finished job can be resumed; 0 means the default
}

// Decode decodes a TOML file into dest. Unknown keys are an error, since most of them are
// misspelled. Errors contain the path of the file.
func Decode(path string, dest any) (toml.MetaData, error) {
	meta, err := toml.DecodeFile(path, dest)
	if err != nil {
		return meta, fmt.Errorf("%s: %w", path, err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		names := make([]string, len(keys))
		for i, k := range keys {
			names[i] = k.String()
		}
		return meta, fmt.Errorf("%s: unknown keys: %s", path, strings.Join(names, ", "))
	}
	return meta, nil
}

// ReadOperator reads and validates an operator's file.
func ReadOperator(path string) (*Config, error) {
	var f File
	meta, err := Decode(path, &f)
	if err != nil {
		return nil, err
	}
	if f.Web != nil {
		f.Web.dir = filepath.Dir(path)
	}
	c := f.config()
	if meta.IsDefined("settings", "bounds", "max_attempts") && f.Settings.Bounds.MaxAttempts <= 0 {
		return nil, fmt.Errorf("%s: max_attempts must be above 0", path)
	}
	if err := c.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// config converts the file to a Config without validating it.
func (f *File) config() *Config {
	for i := range f.Workers {
		if w := &f.Workers[i]; w.Phase == "" {
			w.Phase = "ready"
		}
	}
	if f.Web != nil && f.Listen == "" && len(f.Settings.Classes) == 0 { // a reverse proxy without a frontend for jobs; Check requires a class
		f.Settings.Classes = []Class{{Name: "-", Idempotency: "free", LatencyTarget: 1, ClientTimeout: 1}}
	}
	if len(f.Peers) > 0 {
		f.Settings.Bounds.Peers = true
		// A scheduler's number is its index in Peers. PeerConfig rejects -1, for a scheduler that is not in the list.
		f.Settings.PeerIndex = slices.Index(f.Peers, f.PeerListen)
		f.Settings.PeerCount = len(f.Peers)
	}
	return &Config{Name: f.Name, Revision: f.Revision, Listen: f.Listen, Ops: f.Ops, Discovery: f.Discovery, Seed: f.Seed, Limits: f.Limits,
		PeerListen: f.PeerListen, Peers: f.Peers, FailureDetection: true,
		KnownWorkers: &discovery.List{Complete: true, Members: f.Workers}, Settings: f.Settings,
		SSE: f.SSE, Journal: f.Journal, Web: f.Web, Admission: f.Admission, Planners: f.Planners, EventLoops: f.Loops, ResourceQuota: f.ResourceQuota}
}

// Write writes the file as TOML.
func (f *File) Write(w io.Writer) error {
	e := toml.NewEncoder(w)
	e.Indent = ""
	return e.Encode(f)
}

// checkAddr returns an error unless addr is an IP address and a port above 0. The error starts
// with label, which describes the address.
func checkAddr(label, addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 {
		return fmt.Errorf("%s %q is no IP address and port", label, addr)
	}
	return nil
}

// checkOperator validates the addresses and the settings that only an operator's file has.
func (c *Config) checkOperator() error {
	for _, check := range []func() error{c.checkListen, c.checkWeb, c.checkOps, c.checkSSE, c.checkJournal, c.checkAdmission} {
		if err := check(); err != nil {
			return err
		}
	}
	if c.Planners < 0 || c.EventLoops < 0 {
		return errors.New("planners and loops must not be negative")
	}
	return c.checkWorkers()
}

func (c *Config) checkListen() error {
	if c.Listen != "" || c.Web == nil {
		return checkAddr("the address to listen on,", c.Listen)
	}
	if c.SSE != nil || c.Journal != nil {
		return errors.New("sse and journal are for jobs, and there is no address to listen on for those")
	}
	return nil
}

func (c *Config) checkWeb() error {
	if c.Web == nil {
		return nil
	}
	if err := c.Web.Check(); err != nil {
		return err
	}
	for _, f := range c.Web.Frontends {
		for _, a := range f.Listen {
			if a == c.Listen || a == c.Ops || c.SSE != nil && a == c.SSE.Listen {
				return fmt.Errorf("web: frontend %q listens on %s, which is the address of another frontend", f.Name, a)
			}
		}
	}
	return nil
}

func (c *Config) checkOps() error {
	if c.Ops == "" {
		return nil
	}
	if err := checkAddr("ops", c.Ops); err != nil {
		return err
	}
	if c.Ops == c.Listen || c.SSE != nil && c.Ops == c.SSE.Listen {
		return errors.New("ops is an address of clients")
	}
	return nil
}

func (c *Config) checkSSE() error {
	if c.SSE == nil {
		return nil
	}
	if err := checkAddr("sse.listen", c.SSE.Listen); err != nil {
		return err
	}
	if c.SSE.Listen == c.Listen {
		return errors.New("sse.listen and listen are the same")
	}
	if c.SSE.Heartbeat < 0 || c.SSE.Retain < 0 {
		return errors.New("times of sse must not be negative")
	}
	return nil
}

// checkWorkers checks that the known workers have distinct IDs and valid addresses.
func (c *Config) checkWorkers() error {
	seen := map[string]bool{}
	for _, m := range c.KnownWorkers.Members {
		if seen[m.ID] {
			return fmt.Errorf("worker %q is listed twice", m.ID)
		}
		seen[m.ID] = true
		if err := checkAddr("worker "+m.ID+":", m.HostPort); err != nil {
			return err
		}
	}
	return nil
}
