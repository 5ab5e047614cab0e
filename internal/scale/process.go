package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sedgevale/internal/peers"
)

// process is a real scheduler.
type process struct {
	number      int
	listen, ops string
	file        *operatorFile
	log         *os.File
	cmd         *exec.Cmd
	done        chan struct{} // closed when it has ended
	http        http.Client
	mu          sync.Mutex // of file
	signals     int
}

// start starts the program as a scheduler.
func (p *process) start(binary, dir string) error {
	tmp := filepath.Join(dir, fmt.Sprintf("real-%d.tmp", p.number))
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(dir, fmt.Sprintf("real-%d.log", p.number))); err != nil {
		return err
	}
	p.cmd = exec.Command(binary, "serve", "-f", p.file.path)
	p.cmd.Env = append(os.Environ(), "TMPDIR="+tmp)
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // a Ctrl-C is for us
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", binary, err)
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

// kill ends the process and returns once it has.
func (p *process) kill() {
	if p.done != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if p.log != nil {
		p.log.Close()
	}
}

// ended reports whether the process has ended by itself.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// change replaces the process's file and has it read it.
func (p *process) change(size Size) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.file.write(size); err != nil {
		return err
	}
	p.signals++
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// status reads what the process says of the others.
func (p *process) status() (s peers.Status, err error) {
	a, err := p.http.Get("http://" + p.ops + "/admin/peers")
	if err != nil {
		return s, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return s, fmt.Errorf("real-%d: GET /admin/peers: %s", p.number, a.Status)
	}
	return s, json.NewDecoder(a.Body).Decode(&s)
}

// ready reports whether the process serves.
func (p *process) ready() bool {
	a, err := p.http.Get("http://" + p.listen + "/ready")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// usage is what the kernel says of a process.
type usage struct {
	cpu      time.Duration
	rss, hwm float64 // MiB
}

// usageOf reads it: processor time of all threads by schedstat, in nanoseconds, since stat counts in steps of 10 ms; by
// stat where the kernel has no such figures.
func usageOf(pid int) (u usage, err error) {
	dir := fmt.Sprintf("/proc/%d", pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	if u.cpu, err = parseStat(stat); err != nil {
		return u, err
	}
	threads, _ := filepath.Glob(dir + "/task/*/schedstat")
	fine := time.Duration(0)
	for _, path := range threads {
		if b, err := os.ReadFile(path); err == nil { // a thread may have ended
			if f := strings.Fields(string(b)); len(f) == 3 {
				ns, _ := strconv.ParseInt(f[0], 10, 64)
				fine += time.Duration(ns)
			}
		}
	}
	if d := fine - u.cpu; d > -2*statStep && d < 2*statStep {
		u.cpu = fine
	}
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, err
	}
	u.rss, u.hwm = statusMB(status, "VmRSS"), statusMB(status, "VmHWM")
	return u, nil
}

const statStep = 10 * time.Millisecond

// parseStat returns user's and system's time of /proc/PID/stat.
func parseStat(b []byte) (time.Duration, error) {
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	if len(f) < 13 {
		return 0, fmt.Errorf("/proc/PID/stat has %d fields", len(f))
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * statStep, err
}

// statusMB returns a line of /proc/PID/status in MiB.
func statusMB(b []byte, key string) float64 {
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, key+":"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// ThisMachine returns what a run may use here.
func ThisMachine() (Machine, error) {
	m := Machine{Processes: MostProcesses}
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	m.MemoryMB = int(statusMB(b, "MemTotal") / 2)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return m, err
	}
	m.Descriptors = int(min(limit.Cur, 1<<30))
	return m, nil
}

// freeAddr returns an address on which nobody listens now.
func freeAddr(network, host string) (string, error) {
	if network == "udp4" {
		c, err := net.ListenPacket(network, host+":0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen(network, host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
