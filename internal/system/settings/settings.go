// Package settings reads and validates the settings file of a process. Errors name the file and the key.
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

// DefaultPath is the path of the file unless EnvironmentKey is set.
const DefaultPath = "/etc/sedgevale/boot.json"

// EnvironmentKey is the environment variable with the path of the file.
const EnvironmentKey = "SEDGEVALE_SETTINGS"

// Settings are the settings of one process. Unknown keys of the file are ignored. Fields without a comment are read, since the
// file holds them, and change nothing.
type Settings struct {
	Node            string            `json:"node"` // the name of the process in its logs and to other schedulers
	Role            string            `json:"role"`
	MachineClass    string            `json:"machine_class"`
	IP              string            `json:"ip"`   // the address of the machine
	Zone            string            `json:"zone"` // shown by the members command
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"`
	BindAddrs       BindAddrs         `json:"bind_addrs"` // where clients, operators and the platform reach it
	PortRange       []int             `json:"port_range"` // the first and the last port; the first is for other schedulers
	Seeds           []string          `json:"seeds"`      // control_plane addresses of core schedulers, as host:port
	Bootstrap       bool              `json:"bootstrap"`  // all disks are new: the seeds form the first membership
	CountsForQuorum bool              `json:"counts_for_quorum"`
	Limits          Limits            `json:"limits"`   // of the process
	DataDir         string            `json:"data_dir"` // of a core scheduler: its snapshot and log
	HeartbeatMS     int               `json:"heartbeat_ms"`
	FaultTolerance  FaultTolerance    `json:"fault_tolerance"` // gives the number of seats of the core
	Bounds          Bounds            `json:"bounds"`          // durations, of which few have an effect
	Commands        string            `json:"commands"`
	App             string            `json:"app"`
	Service         string            `json:"service"`
}

// BindAddrs are the addresses to listen on, as host:port.
type BindAddrs struct {
	Frontend     string `json:"frontend"`      // of an edge scheduler, for clients
	Readiness    string `json:"readiness"`     // of an edge scheduler, for the platform
	ControlPlane string `json:"control_plane"` // for operators at a core scheduler, for the worker at a side scheduler
}

// Limits are the resources that the process may use. Only the memory is limited here.
type Limits struct {
	CPUShares       float64 `json:"cpu_shares"`
	MemoryMB        int64   `json:"memory_mb"` // in MiB; 0 for no limit
	FileDescriptors int     `json:"file_descriptors"`
	DiskMB          int64   `json:"disk_mb"`
}

// FaultTolerance is the number of simultaneous losses that the system has to survive. A zone or region counts as one machine.
type FaultTolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Bounds are the durations that the system has to keep, in milliseconds (MS) or seconds (S). Fields without a comment are read
// and change nothing.
type Bounds struct {
	ContactMS          int64   `json:"contact_ms"`
	AckMS              int64   `json:"ack_ms"`
	CatchUpS           float64 `json:"catch_up_s"`
	DrainMS            int64   `json:"drain_ms"`
	GraceS             float64 `json:"grace_s"` // from SIGTERM until a process must have ended
	ConfigApplyMS      int64   `json:"config_apply_ms"`
	MaxLeaseMS         int64   `json:"hold_max_ms"` // the longest lease of a worker
	StopMS             int64   `json:"stop_ms"`
	GangMS             int64   `json:"gang_ms"`
	CancelMS           int64   `json:"cancel_ms"`
	VisibleMS          int64   `json:"visible_ms"`
	EarlyMS            int64   `json:"early_ms"`
	EndedJobRetentionS float64 `json:"status_s"` // how long the state of an ended job can be queried
	RemoteSlowdown     float64 `json:"far_x"`    // factor on a task's run time outside the rack of its data
	CheckpointS        float64 `json:"save_s"`
	RestoreMS          int64   `json:"restore_ms"`
}

// Path returns the path of the settings file.
func Path() string {
	if path := os.Getenv(EnvironmentKey); path != "" {
		return path
	}
	return DefaultPath
}

// Read reads and validates the file.
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

// ReadRetrying reads the file with so many attempts at an interval, since it may be replaced while it is read. It returns
// the error of the last attempt, also when ctx ends before.
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
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	s.setDefaults()
	return s, s.check()
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

func setDefault(value *int64, to int64) {
	if *value == 0 {
		*value = to
	}
}

// check returns an error for the first key whose value is invalid.
func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("node: missing")
	}
	if net.ParseIP(s.IP) == nil {
		return fmt.Errorf("ip: %q is no address", s.IP)
	}
	if len(s.PortRange) != 2 || s.PortRange[0] < 1 || s.PortRange[1] < s.PortRange[0] || s.PortRange[1] > 65535 {
		return fmt.Errorf("port_range: %v is no range of ports", s.PortRange)
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if s.Limits.MemoryMB < 0 {
		return errors.New("limits.memory_mb: below 0")
	}
	if s.FaultTolerance.Machines < 0 || s.FaultTolerance.Machines > 4 {
		return fmt.Errorf("fault_tolerance.machines: %d is not between 0 and 4", s.FaultTolerance.Machines)
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	if len(s.Seeds) == 0 {
		return errors.New("seeds: none")
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

// InternalAddress returns the address of this process for other schedulers: the first port of port_range. A machine runs
// one role only.
func (s *Settings) InternalAddress() string {
	return s.internalAt(s.IP)
}

func (s *Settings) internalAt(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]))
}

// SeedAddresses returns the internal addresses of the seeds, in the order of the settings.
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
