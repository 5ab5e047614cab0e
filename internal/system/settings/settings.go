// Package settings defines, reads and validates the settings file of a process. Errors name the file and the invalid key.
package settings

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

// DefaultPath is the path of the settings file if PathEnvVar is not set.
const DefaultPath = "/etc/sedgevale/boot.json"

// PathEnvVar is the environment variable that holds the path of the settings file.
const PathEnvVar = "SEDGEVALE_SETTINGS"

// Settings are the settings of one process. Unknown keys of the file are ignored. Fields without a comment are part of the
// file format but have no effect.
type Settings struct {
	Node            string            `json:"node"` // name of the process in logs and in messages to other schedulers
	Role            string            `json:"role"`
	MachineClass    string            `json:"machine_class"`
	IP              string            `json:"ip"`   // address of the machine
	Zone            string            `json:"zone"` // shown by the members command
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"`
	BindAddrs       BindAddrs         `json:"bind_addrs"` // addresses for clients, operators and the platform
	PortRange       []int             `json:"port_range"` // first and last port; the first serves other schedulers
	Seeds           []string          `json:"seeds"`      // control_plane addresses of core schedulers, as host:port
	Bootstrap       bool              `json:"bootstrap"`  // all disks are new, and the seeds form the first membership
	CountsForQuorum bool              `json:"counts_for_quorum"`
	Limits          Limits            `json:"limits"`   // resource limits of the process
	DataDir         string            `json:"data_dir"` // directory of a core scheduler's snapshot and log
	HeartbeatMS     int               `json:"heartbeat_ms"`
	FaultTolerance  FaultTolerance    `json:"fault_tolerance"`         // determines the number of seats of the core
	Bounds          Bounds            `json:"bounds"`                  // time limits, most of which have no effect
	ResourceQuota   ResourceQuota     `json:"resource_quota,omitzero"` // limits of what the process holds for its peers
	Commands        string            `json:"commands"`
	App             string            `json:"app"`
	Service         string            `json:"service"`
}

// BindAddrs are the addresses to listen on, as host:port.
type BindAddrs struct {
	Frontend     string `json:"frontend"`      // serves clients; edge schedulers only
	Readiness    string `json:"readiness"`     // serves the platform's readiness probes; edge schedulers only
	ControlPlane string `json:"control_plane"` // serves operators (core schedulers) or the worker (side schedulers)
}

// Limits are the resource limits of the process. CPUShares and DiskMB have no effect.
type Limits struct {
	CPUShares       float64 `json:"cpu_shares"`
	MemoryMB        int64   `json:"memory_mb"`        // MiB; 0 means that of the machine
	FileDescriptors int     `json:"file_descriptors"` // 0 means the process's own limit
	DiskMB          int64   `json:"disk_mb"`
}

// ResourceQuota bounds what the process holds for its peers. A value of 0 means the default, which follows from Limits.
type ResourceQuota struct {
	RequestMB    int64 `json:"request_mb"`    // memory of requests and large answers in MiB; by default a quarter of the memory
	ConnectionMB int64 `json:"connection_mb"` // memory of connections in MiB; by default a quarter of the memory
	Connections  int   `json:"connections"`   // open connections; by default half of the descriptors beyond 200
}

// FaultTolerance is the number of simultaneous failures that the system must tolerate. Zones or Regions above 0 require a
// tolerance of at least one machine.
type FaultTolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Bounds are time limits of the system, in milliseconds (suffix MS) or seconds (suffix S). Fields without a comment have no
// effect.
type Bounds struct {
	ContactMS          int64   `json:"contact_ms"`
	AckMS              int64   `json:"ack_ms"`
	CatchUpS           float64 `json:"catch_up_s"`
	DrainMS            int64   `json:"drain_ms"`
	GraceS             float64 `json:"grace_s"` // grace period between SIGTERM and the exit of a process
	ConfigApplyMS      int64   `json:"config_apply_ms"`
	MaxLeaseMS         int64   `json:"hold_max_ms"` // maximum lease of a worker
	StopMS             int64   `json:"stop_ms"`
	GangMS             int64   `json:"gang_ms"`
	CancelMS           int64   `json:"cancel_ms"`
	VisibleMS          int64   `json:"visible_ms"`
	EarlyMS            int64   `json:"early_ms"`
	EndedJobRetentionS float64 `json:"status_s"` // how long the state of an ended job can be queried
	RemoteSlowdown     float64 `json:"far_x"`    // factor by which a task runs longer outside the rack of its data
	CheckpointS        float64 `json:"save_s"`
	RestoreMS          int64   `json:"restore_ms"`
}

// Path returns the path of the settings file: the value of PathEnvVar, or DefaultPath.
func Path() string {
	if path := os.Getenv(PathEnvVar); path != "" {
		return path
	}
	return DefaultPath
}

// Read reads and validates a settings file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	parsed, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return parsed, nil
}

// ReadRetrying is like Read, but makes up to the given number of attempts at an interval, since the file may be read while
// it is being replaced. It returns the error of the last attempt, also if ctx is cancelled earlier.
func ReadRetrying(ctx context.Context, path string, attempts int, interval time.Duration) (read *Settings, err error) {
	retry := time.NewTicker(interval)
	defer retry.Stop()
	for range attempts {
		read, err = Read(path)
		if err == nil {
			return read, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-retry.C:
		}
	}
	return nil, err
}

// Parse reads and validates the text of a settings file.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("decode JSON: %w", err)
	}
	s.setDefaults()
	return s, s.validate()
}

func (s *Settings) setDefaults() {
	b := &s.Bounds
	setDefault(&b.MaxLeaseMS, 10000)
	setDefault(&b.StopMS, 400)
	setDefault(&b.DrainMS, 2000)
	setDefault(&b.GangMS, 3000)
	setDefault(&b.CancelMS, 3000)
	setDefault(&b.ContactMS, 3000)
	setDefault(&b.AckMS, 4000)
	if b.GraceS == 0 {
		b.GraceS = 6
	}
	if b.EndedJobRetentionS == 0 {
		b.EndedJobRetentionS = 120
	}
	if b.RemoteSlowdown == 0 {
		b.RemoteSlowdown = 1.5
	}
	if s.HeartbeatMS == 0 {
		s.HeartbeatMS = 1500
	}
}

func setDefault(value *int64, defaultValue int64) {
	if *value == 0 {
		*value = defaultValue
	}
}

// validate validates the settings. The error names the first key whose value is invalid.
func (s *Settings) validate() error {
	if s.Node == "" {
		return errors.New("node: missing")
	}
	if net.ParseIP(s.IP) == nil {
		return fmt.Errorf("ip: %q is not an IP address", s.IP)
	}
	if len(s.PortRange) != 2 || s.PortRange[0] < 1 || s.PortRange[1] < s.PortRange[0] || s.PortRange[1] > 65535 {
		return fmt.Errorf("port_range: %v is not a valid range of ports", s.PortRange)
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if s.Limits.MemoryMB < 0 {
		return errors.New("limits.memory_mb: must not be negative")
	}
	if s.ResourceQuota.RequestMB < 0 || s.ResourceQuota.ConnectionMB < 0 || s.ResourceQuota.Connections < 0 {
		return errors.New("resource_quota: its limits must not be negative")
	}
	if s.FaultTolerance.Machines < 0 || s.FaultTolerance.Machines > 4 {
		return fmt.Errorf("fault_tolerance.machines: %d is not between 0 and 4", s.FaultTolerance.Machines)
	}
	return nil
}

func (s *Settings) validateAddresses() error {
	if len(s.Seeds) == 0 {
		return errors.New("seeds: at least one is required")
	}
	for i, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			return fmt.Errorf("seeds[%d]: %w", i, err)
		}
	}
	addresses := []string{s.BindAddrs.Frontend, s.BindAddrs.Readiness, s.BindAddrs.ControlPlane}
	for _, address := range addresses {
		if address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("bind_addrs: %w", err)
		}
	}
	return nil
}

// InternalAddress returns the address on which this process serves other schedulers: the first port of port_range on the
// machine's IP address. A machine runs only one role.
func (s *Settings) InternalAddress() string {
	return s.internalAt(s.IP)
}

func (s *Settings) internalAt(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]))
}

// SeedAddresses returns the internal addresses of the seeds, in the order of the seeds. The seeds are assumed to use the
// same port_range as this process.
func (s *Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			addresses = append(addresses, s.internalAt(host))
		}
	}
	return addresses
}
