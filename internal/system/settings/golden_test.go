package settings_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"sedgevale/internal/system/settings"
)

// TestSettingsKeys pins the JSON key of each field.
func TestSettingsKeys(t *testing.T) {
	const text = `{"node":"n","role":"r","machine_class":"c","ip":"10.0.0.1","zone":"z","region":"g","zones":{"z":"g"},` +
		`"bind_addrs":{"frontend":"10.0.0.1:1","readiness":"10.0.0.1:2","control_plane":"10.0.0.1:3"},"port_range":[4,5],"seeds":["10.0.0.2:80"],` +
		`"bootstrap":true,"counts_for_quorum":true,"limits":{"cpu_shares":6.5,"memory_mb":7,"file_descriptors":8,"disk_mb":9},"data_dir":"d",` +
		`"heartbeat_ms":10,"fault_tolerance":{"machines":1,"zones":2,"regions":3},"bounds":{"contact_ms":11,"ack_ms":12,"catch_up_s":13.5,` +
		`"drain_ms":14,"grace_s":15.5,"config_apply_ms":16,"hold_max_ms":17,"stop_ms":18,"gang_ms":19,"cancel_ms":20,"visible_ms":21,` +
		`"early_ms":22,"status_s":23.5,"far_x":24.5,"save_s":25.5,"restore_ms":26},"commands":"co","app":"ap","service":"sv"}`
	want := &settings.Settings{
		Node: "n", Role: "r", MachineClass: "c", IP: "10.0.0.1", Zone: "z", Region: "g", Zones: map[string]string{"z": "g"},
		BindAddrs: settings.BindAddrs{Frontend: "10.0.0.1:1", Readiness: "10.0.0.1:2", ControlPlane: "10.0.0.1:3"},
		PortRange: []int{4, 5}, Seeds: []string{"10.0.0.2:80"}, Bootstrap: true, CountsForQuorum: true,
		Limits:  settings.Limits{CPUShares: 6.5, MemoryMB: 7, FileDescriptors: 8, DiskMB: 9},
		DataDir: "d", HeartbeatMS: 10, FaultTolerance: settings.FaultTolerance{Machines: 1, Zones: 2, Regions: 3},
		Bounds: settings.Bounds{
			ContactMS: 11, AckMS: 12, CatchUpS: 13.5, DrainMS: 14, GraceS: 15.5, ConfigApplyMS: 16, MaxLeaseMS: 17, StopMS: 18, GangMS: 19,
			CancelMS: 20, VisibleMS: 21, EarlyMS: 22, EndedJobRetentionS: 23.5, RemoteSlowdown: 24.5, CheckpointS: 25.5, RestoreMS: 26,
		},
		Commands: "co", App: "ap", Service: "sv",
	}
	got, err := settings.Parse([]byte(text))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded settings %+v, error %v", got, err)
	}
	if written, err := json.Marshal(want); err != nil || string(written) != text {
		t.Errorf("error %v, encoded settings\n%s\nwant\n%s", err, written, text)
	}
}

// TestSettingsDefaults pins the defaults of missing keys.
func TestSettingsDefaults(t *testing.T) {
	got, err := settings.Parse([]byte(`{"node":"n","ip":"10.0.0.1","port_range":[4,5],"seeds":["10.0.0.2:80"],"other":1}`))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Bounds{
		MaxLeaseMS: 10000, StopMS: 400, DrainMS: 2000, GangMS: 3000, CancelMS: 3000, ContactMS: 3000, AckMS: 4000, GraceS: 6, EndedJobRetentionS: 120, RemoteSlowdown: 1.5,
	}
	if got.Bounds != want || got.HeartbeatMS != 1500 {
		t.Errorf("default bounds %+v and heartbeat interval %d ms, want %+v and 1500 ms", got.Bounds, got.HeartbeatMS, want)
	}
}
