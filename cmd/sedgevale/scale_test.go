package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// asProgram makes this test binary the program, and whatever it starts as well.
const asProgram = "SEDGEVALE_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program returns a command that is the program.
func program(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), asProgram+"=1")
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// child is a process, which its number alone does not tell from a later one.
type child struct{ pid, started string }

// childrenOf returns who was started by a process and runs.
func childrenOf(t *testing.T, parent int) (all []child) {
	t.Helper()
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range stats {
		if f, ok := stat(path); ok && f[1] == fmt.Sprint(parent) {
			all = append(all, child{filepath.Base(filepath.Dir(path)), f[19]})
		}
	}
	return all
}

// stat returns the fields of a stat file after the name; it reports false for a process that is gone, or only waited for.
func stat(path string) ([]string, bool) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, false
	}
	f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	return f, len(f) > 19 && f[0] != "Z"
}

func (c child) runs() bool {
	f, ok := stat("/proc/" + c.pid + "/stat")
	return ok && f[19] == c.started
}

const scaleFile = `
version = 1
workers = 8
slots = 8
teams = 4
running = 24
starts_per_s = 30
schedulers = 3
real = 2
long_s = 60
short_ms = 20
length_s = 600
`

// Guards the machine: however a scale run is ended early, none of its schedulers is left.
func TestScaleLeavesNoProcess(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			dir := t.TempDir()
			file := filepath.Join(dir, "scale.toml")
			if err := os.WriteFile(file, []byte(scaleFile), 0o600); err != nil {
				t.Fatal(err)
			}
			var said bytes.Buffer
			run := program("scale", file, "--dir", dir)
			run.Stderr = &said
			if err := run.Start(); err != nil {
				t.Fatal(err)
			}
			defer run.Process.Kill()
			serving := func() (n int) {
				logs, _ := filepath.Glob(filepath.Join(dir, "point-*", "real-*.log"))
				for _, path := range logs {
					if b, _ := os.ReadFile(path); bytes.Contains(b, []byte("msg=serving")) {
						n++
					}
				}
				return n
			}
			await(t, "two schedulers serve", func() bool { return serving() == 2 })
			children := childrenOf(t, run.Process.Pid)
			t.Cleanup(func() {
				for _, c := range children {
					if pid, err := strconv.Atoi(c.pid); err == nil && c.runs() {
						_ = syscall.Kill(pid, syscall.SIGKILL)
					}
				}
			})
			if len(children) != 2 {
				t.Fatalf("%v are its processes, want 2", children)
			}
			if err := run.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			done := make(chan error, 1)
			go func() { done <- run.Wait() }()
			select {
			case err := <-done:
				if err == nil {
					t.Error("it ends as if it were whole")
				}
			case <-time.After(patience):
				t.Fatal("it does not end")
			}
			for _, c := range children {
				if sig != syscall.SIGKILL && c.runs() {
					t.Errorf("process %s is left", c.pid)
				}
				await(t, "process "+c.pid+" ends", func() bool { return !c.runs() })
			}
			if want := "ended early, after 0 points"; sig != syscall.SIGKILL && !strings.Contains(said.String(), want) {
				t.Errorf("it says %q, want %q", &said, want)
			}
		})
	}
}

// patience is for what must come; no test waits that long when all is well.
const patience = 20 * time.Second

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// Guards the command: a bad file is refused with its name before anything starts.
func TestScaleRefusesABadFile(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "scale.toml")
	if err := os.WriteFile(file, []byte(strings.Replace(scaleFile, "teams = 4", "teams = 0", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := program("scale", file, "--dir", dir).CombinedOutput()
	if err == nil || !strings.Contains(string(out), file+": teams: 0, want 1 or more") {
		t.Errorf("%v: %s", err, out)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 1 {
		t.Errorf("it has begun: %v", left)
	}
}
