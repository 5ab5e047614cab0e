package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

const (
	placementModelSteps    = 150
	placementModelJobs     = 12
	placementModelServices = 3
	placementModelBody     = `{"spec":"x","stages":[{"count":1}]}`
)

// placementModel is a history of calls about jobs of one endpoint, whose route moves between shards meanwhile. The calls run
// interleaved, one message to an owner at a time, and each edge scheduler and owner has some version of the configuration.
type placementModel struct {
	t         *testing.T
	random    *rand.Rand
	states    []*configState // by version, from 1
	tables    []*clusterconfig.Table
	owners    map[string]*owner
	calls     []*placementCall
	accepted  map[string]string // shard that has accepted the job, by ID
	cancelled map[string]bool   // jobs whose cancellation was answered with result.NoJob
}

// placementCall is a call about a job: a submission or, if cancel is set, a cancellation. It asks the former shards first, as
// edge.request.callShards does.
type placementCall struct {
	id      string
	cancel  bool
	version int64    // of the configuration at the edge scheduler
	shards  []string // still to ask; the last one is that of the route, if there is one
	routed  bool     // there is a route
}

func newPlacementModel(t *testing.T, seed uint64) *placementModel {
	m := &placementModel{
		t: t, random: rand.New(rand.NewPCG(seed, 87)), owners: map[string]*owner{}, accepted: map[string]string{}, cancelled: map[string]bool{},
	}
	m.change()
	for n := range placementModelServices {
		name := fmt.Sprint("s", n)
		_, o := newServingOwner(t)
		o.name = name
		m.owners[name] = o
		o.configure(m.newest())
	}
	return m
}

func (m *placementModel) newest() *configState { return m.states[len(m.states)-1] }

// change moves, removes or adds the route by an operator's change.
func (m *placementModel) change() {
	version := int64(len(m.states) + 2) // newServingOwner has version 1
	text := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"}]}`, version)
	if service := m.random.IntN(placementModelServices + 1); service < placementModelServices {
		text = fmt.Sprintf(`{"version":%d,"routes":[{"name":"r%d","host":"h","path_prefix":"/q/","timeout_ms":1,"service":"s%d"}],`+
			`"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"}]}`, version, m.random.IntN(2), service)
	}
	var current []byte
	base := int64(0)
	if len(m.states) > 0 {
		base = m.newest().record.Version
		current, _ = avrocodec.Encode(&m.newest().record)
	}
	value, err := newConfigChange(false, base, []byte(text)).apply(current)
	if err != nil {
		m.t.Fatal(err)
	}
	var record configRecord
	if err := avrocodec.Decode(value, &record); err != nil {
		m.t.Fatal(err)
	}
	config, err := clusterconfig.Parse(record.Text)
	if err != nil {
		m.t.Fatal(err)
	}
	m.states = append(m.states, newConfigState(record, config))
	m.tables = append(m.tables, clusterconfig.NewTable(config, record.Former))
}

// begin begins a call at an edge scheduler with any version of the configuration.
func (m *placementModel) begin() {
	id := fmt.Sprintf("%016x", m.random.IntN(placementModelJobs))
	m.calls = append(m.calls, &placementCall{id: id, cancel: m.random.IntN(3) == 0})
	m.resolve(m.calls[len(m.calls)-1], m.random.IntN(len(m.states)))
}

func (m *placementModel) resolve(call *placementCall, index int) {
	route, _ := m.tables[index].Match("h", "/q/"+call.id)
	call.version, call.routed = m.states[index].record.Version, route != nil
	call.shards = append([]string{}, m.tables[index].FormerServices("h/q/")...)
	if route != nil {
		call.shards = append(call.shards, route.Service)
	}
}

// step sends the next message of a random call to an owner, which first catches up with the version of the call.
func (m *placementModel) step() {
	n := m.random.IntN(len(m.calls))
	call := m.calls[n]
	err := result.Errorf(result.NoRoute, "no route")
	if len(call.shards) > 0 {
		shard, knownOnly := call.shards[0], len(call.shards) > 1 || !call.routed
		call.shards = call.shards[1:]
		err = m.send(call, shard, knownOnly)
	}
	code := result.CodeOf(err)
	elsewhere := code == result.NoRoute || code == result.QueueMoved
	if len(call.shards) > 0 && (code == result.NoJob || elsewhere) {
		return // the next shard
	}
	if newest := m.newest().record.Version; (code == result.ConfigOutdated || elsewhere && call.routed) && call.version < newest {
		m.resolve(call, len(m.states)-1)
		return
	}
	if call.cancel && code == result.NoJob {
		m.cancelled[call.id] = true
		if shard, accepted := m.accepted[call.id]; accepted {
			m.t.Errorf("job %s was accepted by %s and its cancellation was answered with NoJob", call.id, shard)
		}
	}
	m.calls = append(m.calls[:n], m.calls[n+1:]...)
}

// send sends a message to the owner of a shard and records the jobs that it accepts.
func (m *placementModel) send(call *placementCall, shard string, knownOnly bool) error {
	o := m.owners[shard]
	for _, state := range m.states {
		if state.record.Version <= call.version {
			o.configure(state)
		}
	}
	if call.cancel {
		known, _, err := o.cancel(&api.JobRequest{ID: call.id, Endpoint: "h/q/", ConfigVersion: call.version, KnownOnly: knownOnly})
		if err == nil && !known {
			return result.Errorf(result.NoJob, "no job %s", call.id)
		}
		return err
	}
	known := o.hasJob(jobs.JobRef{Endpoint: "h/q/", ID: call.id})
	submission := &jobs.Submission{ID: call.id, Endpoint: "h/q/", Body: []byte(placementModelBody)}
	_, err := o.submit(submission, caller{call.version, knownOnly})
	if err != nil || known {
		return err
	}
	if other, accepted := m.accepted[call.id]; accepted {
		m.t.Errorf("job %s was accepted by %s and by %s", call.id, other, shard)
	}
	if m.cancelled[call.id] {
		m.t.Errorf("job %s was accepted by %s after its cancellation was answered with NoJob", call.id, shard)
	}
	m.accepted[call.id] = shard
	return nil
}

// TestModelOfPlacement checks random histories: a job is accepted by one shard at most, wherever its route points meanwhile, and by
// none once its cancellation was answered with NoJob. It guards against the failures of review/11 and review/13 and their kind.
func TestModelOfPlacement(t *testing.T) {
	for seed := range uint64(*configModelSeeds) {
		synctest.Test(t, func(t *testing.T) {
			m := newPlacementModel(t, seed)
			for range placementModelSteps {
				switch kind := m.random.IntN(12); {
				case kind == 0:
					m.change()
				case kind == 1:
					m.owners[fmt.Sprint("s", m.random.IntN(placementModelServices))].configure(m.newest()) // learns of it, or is replaced
				case kind < 5 || len(m.calls) == 0:
					m.begin()
				default:
					m.step()
				}
			}
			for _, o := range m.owners {
				o.close()
			}
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		})
	}
}
