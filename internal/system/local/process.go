package local

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"sedgevale/internal/system/settings"
)

const shutdownTimeout = 8 * time.Second // between SIGTERM and SIGKILL

// startAll starts all schedulers. They receive SIGTERM when ctx is cancelled.
func (s *system) startAll(ctx context.Context) error {
	var seeds []string
	for i := range coreCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", coreIP(i), controlPort))
	}
	for i := range coreCount {
		if err := s.start(ctx, "core", fmt.Sprintf("core-%d", i+1), coreIP(i), seeds); err != nil {
			return err
		}
	}
	for i := range sideCount {
		if err := s.start(ctx, "side", fmt.Sprintf("side-%d", i+1), sideIP(i), seeds); err != nil {
			return err
		}
	}
	return s.start(ctx, "edge", "edge-1", edgeIP, seeds)
}

// start writes the settings of a scheduler and starts its process, whose output goes to a log file.
func (s *system) start(ctx context.Context, role, name, ip string, seeds []string) error {
	path, err := s.writeSettings(role, name, ip, seeds)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own file descriptor
	command := exec.CommandContext(ctx, s.program, role, "--metrics")
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	command.WaitDelay = shutdownTimeout
	command.Env = append(os.Environ(), settings.PathEnvVar+"="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start scheduler %s: %w", name, err)
	}
	s.processes = append(s.processes, command)
	return nil
}

// writeSettings writes the settings file of a scheduler and returns its path. Bootstrap is set if the scheduler has no data
// directory yet.
func (s *system) writeSettings(role, name, ip string, seeds []string) (string, error) {
	data := filepath.Join(s.dir, name)
	_, err := os.Stat(data)
	bootstrap := errors.Is(err, os.ErrNotExist)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return "", err
	}
	file := settings.Settings{
		Node: name, Role: role, MachineClass: role, IP: ip, Zone: "loopback", Region: "loopback",
		PortRange: []int{portRangeStart, portRangeEnd}, Seeds: seeds, Bootstrap: bootstrap, DataDir: data, Service: service,
		FaultTolerance: settings.FaultTolerance{Machines: 1}, HeartbeatMS: 1500,
		Limits: settings.Limits{MemoryMB: 200},
		BindAddrs: settings.BindAddrs{
			Frontend: fmt.Sprintf("%s:%d", ip, clientPort), Readiness: fmt.Sprintf("%s:%d", ip, readinessPort),
			ControlPlane: fmt.Sprintf("%s:%d", ip, controlPort),
		},
	}
	text, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, name+".json")
	return path, os.WriteFile(path, text, 0o644)
}

// wait waits until all processes have exited. The context that they were started with must have been cancelled.
func (s *system) wait() {
	for _, command := range s.processes {
		_ = command.Wait() // kills a scheduler that does not exit within shutdownTimeout
	}
}
