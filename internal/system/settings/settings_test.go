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

const validSettings = `{"node":"n","ip":"10.0.0.1","port_range":[7380,7395],"seeds":["10.0.0.1:80","10.0.0.2:80"],"new_key":[1],
"bind_addrs":{"control_plane":"10.0.0.1:80"},"limits":{"memory_mb":100},"fault_tolerance":{"machines":1},"data_dir":null}`

func TestValidSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.InternalAddress() != "10.0.0.1:7380" || s.SeedAddresses()[1] != "10.0.0.2:7380" || s.Bounds.MaxLeaseMS != 10000 {
		t.Errorf("wrong addresses or default in settings %+v", s)
	}
}

func TestInvalidSettingsNameTheKey(t *testing.T) {
	cases := map[string][2]string{
		"node":                     {`"node":"n"`, `"node":""`},
		"ip":                       {`"ip":"10.0.0.1"`, `"ip":"nowhere"`},
		"port_range":               {`[7380,7395]`, `[7395,7380]`},
		"seeds":                    {`["10.0.0.1:80","10.0.0.2:80"]`, `[]`},
		"seeds[1]":                 {`"10.0.0.2:80"`, `"10.0.0.2"`},
		"bind_addrs":               {`"control_plane":"10.0.0.1:80"`, `"control_plane":"x"`},
		"limits.memory_mb":         {`"memory_mb":100`, `"memory_mb":-1`},
		"fault_tolerance.machines": {`"machines":1`, `"machines":9`},
		"resource_quota":           {`"data_dir":null`, `"resource_quota":{"connections":-1}`},
		"decode JSON":              {`"data_dir":null}`, ``},
	}
	for key, change := range cases {
		text := strings.Replace(validSettings, change[0], change[1], 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("error %v does not name %q", err, key)
		}
	}
}

// TestPartiallyWrittenFileIsRetried checks that a truncated file, as left by a writer in progress, is an error that
// names the file, and that reading succeeds once the file is complete.
func TestPartiallyWrittenFileIsRetried(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, []byte(validSettings[:50]), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRetrying(t.Context(), path, 2, time.Nanosecond); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("error %v does not name the truncated file", err)
	}
	if err := os.WriteFile(path, []byte(validSettings), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadRetrying(t.Context(), path, 2, time.Nanosecond); err != nil {
		t.Error(err)
	}
}

func TestReadRetryingStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	if _, err := ReadRetrying(ctx, filepath.Join(t.TempDir(), "none.json"), 2, time.Hour); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v, want %v", err, os.ErrNotExist)
	}
	if took := time.Since(began); took > time.Minute {
		t.Errorf("ReadRetrying returned %v after its context was cancelled", took)
	}
}
