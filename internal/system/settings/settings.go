// Package settings reads and checks the settings file of a process.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

// DefaultPath is read where the environment names no other file.
const DefaultPath = "/etc/sedgevale/boot.json"

// EnvironmentKey names the variable that holds the path of the file.
const EnvironmentKey = "SEDGEVALE_SETTINGS"

// Settings are the settings of one process. Unknown keys of the file are skipped.
type Settings struct {
	Node            string            `json:"node"`
	Role            string            `json:"role"`
	MachineClass    string            `json:"machine_class"`
	IP              string            `json:"ip"`
	Zone            string            `json:"zone"`
	Region          string            `json:"region"`
	Zones           map[string]string `json:"zones"`
	BindAddrs       BindAddrs         `json:"bind_addrs"`
	PortRange       []int             `json:"port_range"`
	Seeds           []string          `json:"seeds"`
	Bootstrap       bool              `json:"bootstrap"`
	CountsForQuorum bool              `json:"counts_for_quorum"`
	Limits          Limits            `json:"limits"`
	DataDir         string            `json:"data_dir"`
	HeartbeatMS     int               `json:"heartbeat_ms"`
	FaultTolerance  FaultTolerance    `json:"fault_tolerance"`
	Bounds          Bounds            `json:"bounds"`
	Commands        string            `json:"commands"`
	App             string            `json:"app"`
	Service         string            `json:"service"`
}

// BindAddrs are the addresses to listen on, as host:port.
type BindAddrs struct {
	Frontend     string `json:"frontend"`
	Readiness    string `json:"readiness"`
	ControlPlane string `json:"control_plane"`
}

// Limits bound the process.
type Limits struct {
	CPUShares       float64 `json:"cpu_shares"`
	MemoryMB        int64   `json:"memory_mb"`
	FileDescriptors int     `json:"file_descriptors"`
	DiskMB          int64   `json:"disk_mb"`
}

// FaultTolerance says how much may be lost at once.
type FaultTolerance struct {
	Machines int `json:"machines"`
	Zones    int `json:"zones"`
	Regions  int `json:"regions"`
}

// Bounds are the time bounds that the system has to keep, in milliseconds or seconds as named.
type Bounds struct {
	ContactMS     int64   `json:"contact_ms"`
	AckMS         int64   `json:"ack_ms"`
	CatchUpS      float64 `json:"catch_up_s"`
	DrainMS       int64   `json:"drain_ms"`
	GraceS        float64 `json:"grace_s"`
	ConfigApplyMS int64   `json:"config_apply_ms"`
	HoldMaxMS     int64   `json:"hold_max_ms"`
	StopMS        int64   `json:"stop_ms"`
	GangMS        int64   `json:"gang_ms"`
	CancelMS      int64   `json:"cancel_ms"`
	VisibleMS     int64   `json:"visible_ms"`
	EarlyMS       int64   `json:"early_ms"`
	StatusS       float64 `json:"status_s"`
	FarX          float64 `json:"far_x"`
	SaveS         float64 `json:"save_s"`
	RestoreMS     int64   `json:"restore_ms"`
}

// Path returns the path of the settings file.
func Path() string {
	if path := os.Getenv(EnvironmentKey); path != "" {
		return path
	}
	return DefaultPath
}

// Read reads and checks the file. Errors name the file and the key.
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

// ReadRetrying reads the file and tries again for a while, since it may be replaced while it is read.
func ReadRetrying(path string, tries int, pause time.Duration) (read *Settings, err error) {
	for range tries {
		read, err = Read(path)
		if err == nil {
			return read, nil
		}
		time.Sleep(pause)
	}
	return nil, err
}

// Parse checks the text of a settings file.
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
	setDefault(&b.HoldMaxMS, 10000)
	setDefault(&b.StopMS, 400)
	setDefault(&b.DrainMS, 2000)
	setDefault(&b.GangMS, 3000)
	setDefault(&b.CancelMS, 3000)
	setDefault(&b.ContactMS, 3000)
	setDefault(&b.AckMS, 4000)
	if b.GraceS == 0 {
		b.GraceS = 6
	}
	if b.StatusS == 0 {
		b.StatusS = 120
	}
	if b.FarX == 0 {
		b.FarX = 1.5
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

func (s *Settings) check() error {
	if s.Node == "" {
		return fmt.Errorf("node: missing")
	}
	if net.ParseIP(s.IP) == nil {
		return fmt.Errorf("ip: %q is no address", s.IP)
	}
	if len(s.PortRange) != 2 || s.PortRange[0] < 1 || s.PortRange[1] < s.PortRange[0] || s.PortRange[1] > 65535 {
		return fmt.Errorf("port_range: %v is no range of ports", s.PortRange)
	}
	if len(s.Seeds) == 0 {
		return fmt.Errorf("seeds: none")
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
	if s.Limits.MemoryMB < 0 {
		return fmt.Errorf("limits.memory_mb: below 0")
	}
	if s.FaultTolerance.Machines < 0 || s.FaultTolerance.Machines > 4 {
		return fmt.Errorf("fault_tolerance.machines: %d is not between 0 and 4", s.FaultTolerance.Machines)
	}
	return nil
}

// InternalAddress returns the address on which this process hears other schedulers: the first port of the range. A
// machine has one role of ours.
func (s *Settings) InternalAddress() string {
	return s.internalAt(s.IP)
}

func (s *Settings) internalAt(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]))
}

// SeedAddresses returns the internal addresses of the seeds, in their order.
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
