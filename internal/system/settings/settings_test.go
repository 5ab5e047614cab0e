package settings

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const good = `{"node":"n","ip":"10.0.0.1","port_range":[7380,7395],"seeds":["10.0.0.1:80","10.0.0.2:80"],"new_key":[1],
"bind_addrs":{"control_plane":"10.0.0.1:80"},"limits":{"memory_mb":100},"fault_tolerance":{"machines":1},"data_dir":null}`

func TestGoodSettings(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.InternalAddress() != "10.0.0.1:7380" || s.SeedAddresses()[1] != "10.0.0.2:7380" || s.Bounds.MaxLeaseMS != 10000 {
		t.Errorf("settings %+v", s)
	}
}

func TestBadSettingsNameTheKey(t *testing.T) {
	cases := map[string][2]string{
		"node":                     {`"node":"n"`, `"node":""`},
		"ip":                       {`"ip":"10.0.0.1"`, `"ip":"nowhere"`},
		"port_range":               {`[7380,7395]`, `[7395,7380]`},
		"seeds":                    {`["10.0.0.1:80","10.0.0.2:80"]`, `[]`},
		"seeds[1]":                 {`"10.0.0.2:80"`, `"10.0.0.2"`},
		"bind_addrs":               {`"control_plane":"10.0.0.1:80"`, `"control_plane":"x"`},
		"limits.memory_mb":         {`"memory_mb":100`, `"memory_mb":-1`},
		"fault_tolerance.machines": {`"machines":1`, `"machines":9`},
		"cannot be read":           {`"data_dir":null}`, ``},
	}
	for key, change := range cases {
		text := strings.Replace(good, change[0], change[1], 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v", key, err)
		}
	}
}

// A file that is replaced while it is read is read again.
func TestPartlyWrittenFileIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, []byte(good[:50]), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRetrying(t.Context(), path, 2, time.Nanosecond); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("error %v", err)
	}
	if err := os.WriteFile(path, []byte(good), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRetrying(t.Context(), path, 2, time.Nanosecond); err != nil {
		t.Error(err)
	}
}

func TestReadingEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	if _, err := ReadRetrying(ctx, filepath.Join(t.TempDir(), "none.json"), 2, time.Hour); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v", err)
	}
	if took := time.Since(began); took > time.Minute {
		t.Errorf("ended after %v", took)
	}
}
