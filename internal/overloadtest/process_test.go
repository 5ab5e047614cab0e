//go:build overload

package overloadtest

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The limits of every process under test. The smallest machines of the deployments that are known have 152 MiB and 4,096
// descriptors; these are lower, so that a small crowd exceeds them.
const (
	memoryLimitMB   = 96
	memoryLimit     = memoryLimitMB << 20 // bytes
	descriptorLimit = 1024
)

const (
	sampleInterval = 20 * time.Millisecond
	stopTimeout    = 15 * time.Second // between SIGTERM and SIGKILL at the end of a test
)

// program is the path of the program under test, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overloadtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "sedgevale")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", program, "sedgevale/cmd/sedgevale")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is a process under test. All its sockets have its own loopback address.
type process struct {
	t       *testing.T
	command *exec.Cmd
	log     string // path of its output
	address netip.Addr
	exited  chan struct{} // closed when the process has ended

	stopSampling chan struct{}
	sampling     sync.WaitGroup

	// The fields below belong to the sampling goroutine until sampling.Wait has returned.
	peakBytes       int64 // resident memory and the bytes in the kernel's buffers of its connections
	peakResident    int64
	peakDescriptors int
}

// startProcess starts the program. The process ends with the test.
func startProcess(t *testing.T, ip string, environment []string, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, log: filepath.Join(t.TempDir(), "log"), address: netip.MustParseAddr(ip), exited: make(chan struct{}),
		stopSampling: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()                                           // the process has its own descriptor
	p.command = exec.CommandContext(context.Background(), program, arguments...) // stop ends it
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // check reports an early end
		close(p.exited)
	}()
	p.sampling.Go(p.sample)
	t.Cleanup(p.stop)
	return p
}

// stop ends the process and the sampling.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		<-p.exited
	}
	p.endSampling()
}

func (p *process) endSampling() {
	select {
	case <-p.stopSampling:
	default:
		close(p.stopSampling)
	}
	p.sampling.Wait()
}

// sample records the highest use of memory and descriptors until stopSampling is closed.
func (p *process) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopSampling:
			return
		case <-p.exited:
			return
		case <-ticker.C:
		}
		sockets := p.sockets()
		buffered, err := bufferedBytes(p.address, sockets)
		if err != nil {
			p.t.Errorf("bytes in socket buffers: %v", err)
			return
		}
		resident := p.statusKB("VmRSS:") << 10
		p.peakResident = max(p.peakResident, p.statusKB("VmHWM:")<<10)
		p.peakBytes = max(p.peakBytes, resident+buffered, p.peakResident)
	}
}

// sockets returns the inodes of the process's sockets. It records the number of open descriptors.
func (p *process) sockets() map[string]bool {
	dir := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	descriptors, err := os.ReadDir(dir)
	if err != nil {
		return nil // the process has ended
	}
	p.peakDescriptors = max(p.peakDescriptors, len(descriptors))
	inodes := map[string]bool{}
	for _, descriptor := range descriptors {
		link, err := os.Readlink(filepath.Join(dir, descriptor.Name()))
		if inode, isSocket := strings.CutPrefix(link, "socket:["); err == nil && isSocket {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// statusKB returns a value of /proc/PID/status in KiB, or 0 if the process has ended.
func (p *process) statusKB(name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == name {
			value, _ := strconv.ParseInt(fields[1], 10, 64)
			return value
		}
	}
	return 0
}

const (
	listenState = "0A" // state of a listening socket in /proc/net/tcp, whose queues count connections
	tcpTable    = "/proc/net/tcp"
	inodeField  = 9 // of a line of tcpTable
)

// bufferedBytes returns the bytes that the kernel holds for the connections at a local address, also those that are not accepted
// yet, and for other sockets of the process by their inodes: bytes that have arrived and are not read, and bytes that are written
// and not acknowledged.
func bufferedBytes(address netip.Addr, sockets map[string]bool) (total int64, err error) {
	table, err := os.Open(tcpTable)
	if err != nil {
		return 0, err
	}
	defer func() { _ = table.Close() }() // read only
	ip := address.As4()
	local := strings.ToUpper(hex.EncodeToString(binary.NativeEndian.AppendUint32(nil, binary.BigEndian.Uint32(ip[:]))))
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeField || fields[3] == listenState {
			continue
		}
		if !strings.HasPrefix(fields[1], local+":") && !sockets[fields[inodeField]] {
			continue
		}
		written, unread, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{written, unread} {
			n, err := strconv.ParseInt(queue, 16, 64)
			if err != nil {
				return 0, fmt.Errorf("%s: %w", tcpTable, err)
			}
			total += n
		}
	}
	return total, lines.Err()
}

// check ends the sampling and reports an error if the process has ended or has exceeded a limit.
func (p *process) check() {
	p.t.Helper()
	ended := false
	select {
	case <-p.exited:
		ended = true
	default:
	}
	p.endSampling()
	if ended {
		text, _ := os.ReadFile(p.log)
		p.t.Errorf("the process has ended: %v\n%s", p.command.ProcessState, lastBytes(text))
	}
	p.t.Logf("peak: %d MiB with socket buffers, %d MiB resident, %d descriptors", p.peakBytes>>20, p.peakResident>>20, p.peakDescriptors)
	if p.peakBytes > memoryLimit {
		p.t.Errorf("memory: %d MiB at the peak, limit %d MiB", p.peakBytes>>20, memoryLimitMB)
	}
	if p.peakDescriptors > descriptorLimit {
		p.t.Errorf("descriptors: %d at the peak, limit %d", p.peakDescriptors, descriptorLimit)
	}
}

// maxLogBytes is the length of the end of a log that a failed test shows.
const maxLogBytes = 4 << 10

func lastBytes(text []byte) []byte { return text[max(0, len(text)-maxLogBytes):] }
