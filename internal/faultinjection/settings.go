package faultinjection

import (
	"fmt"
	"net/netip"
	"strings"

	"sedgevale/internal/fake"
)

// Settings is the [settings] table of an operator's file, with three job classes and two tenants.
const Settings = settingsWithoutTenants + `[[settings.realms]]
name = "valley"
share = 0.6
[[settings.realms]]
name = "east"
share = 0.4
`

// settingsWithoutTenants is Settings without the tenants.
const settingsWithoutTenants = `
[settings]
discovery = "ask"
kinds = ["box"]
zones = ["hut"]
weights = "rough"
[settings.bounds]
cancel = true
dial_timeout = 0.3
idle_close = 15
max_attempts = 4
max_retry_after = 2
parallel_tries = true
retry_after = true
[settings.family_info]
class_stretch = [2, 2, 2]
queue_order = "fifo"
tells_start = true
[settings.report]
via = "answers"
[settings.rules]
start_capacity = 0.13
warm_up = 22
fall_multiple = 3
fall = 2
[[settings.classes]]
name = "usage-view"
effect = "free"
promise = 0.3
hard_limit = 2
[[settings.classes]]
name = "plan-change"
effect = "single_shot"
promise = 0.3
hard_limit = 2
[[settings.classes]]
name = "bill-pay"
effect = "guarded"
dedup_scope = "cell"
window = 7.5
promise = 0.3
hard_limit = 2
`

// Mix is the class mix of the clients' jobs.
var Mix = []fake.ClassShare{{Class: "usage-view", Share: 0.44}, {Class: "plan-change", Share: 0.31},
	{Class: "bill-pay", Share: 0.25, Keyed: true}}

// Tenant is a tenant, which the settings call a realm.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // in jobs per second; 0 means no quota
}

// Configuration is the part of an operator's file that tests change while schedulers serve.
type Configuration struct {
	Revision int // 0 means that the file has no revision
	Tenants  []Tenant
}

// operatorFile returns the content of a scheduler's operator file. If peers is nil, the schedulers do not exchange load reports.
func operatorFile(s *Scheduler, discovery string, index, schedulers int, peers []netip.AddrPort, workers []fake.Member, c Configuration) []byte {
	b := fmt.Appendf(nil, "name = %q\nlisten = %q\nops = %q\ndiscovery = %q\n", s.Name, s.Listen, s.Ops, discovery)
	if c.Revision > 0 {
		b = fmt.Appendf(b, "revision = %d\n", c.Revision)
	}
	if peers == nil {
		b = append(b, strings.Replace(settingsWithoutTenants, "[settings]",
			fmt.Sprintf("[settings]\npeers_total = %d\nslot_no = %d", schedulers, index), 1)...)
	} else {
		b = fmt.Appendf(b, "peer_listen = %q\npeers = [", peers[index])
		for _, a := range peers {
			b = fmt.Appendf(b, "%q, ", a)
		}
		b = append(b, "]\n"+settingsWithoutTenants...)
	}
	for _, tenant := range c.Tenants {
		b = fmt.Appendf(b, "[[settings.realms]]\nname = %q\nshare = %g\nquota_rps = %g\n", tenant.Name, tenant.Share, tenant.Quota)
	}
	for _, m := range workers {
		b = fmt.Appendf(b, "[[workers]]\nid = %q\nhost_port = %q\nlocality = %q\nflavor = %q\ncell = %d\nsize = %g\n",
			m.ID, m.HostPort, m.Locality, m.Flavor, m.Cell, m.Size)
	}
	return b
}
