package main

// site holds the parameters of a deployment.
type site struct {
	name            string
	zones           int
	coresPerZone    int
	toleratedLosses int // number of core machines that may fail at the same time
	services        []service
	maxLeaseMS      int // longest lease of a worker
	stopMS          int // time that a worker takes to stop a task
	queues          []queue
	rackSize        int // number of workers in a rack
	jobsPerSecond   float64
	lengthS         int     // length of a day; 0 means defaultLengthS
	labelShare      float64 // share of the jobs that require a label; 0 means defaultLabelShare
	configChanges   int     // number of configuration changes in a day in addition to its plan
	lateBurst       string  // queue that receives a burst of jobs shortly before the end of a day; empty for none
}

const (
	defaultLengthS    = 34
	defaultLabelShare = 0.12
)

// service holds the parameters of a group of workers.
type service struct {
	name           string
	workersPerZone int
	cpu            int // millicores per worker
	gpu            int // accelerators per worker
}

// queue holds the parameters of a queue and its jobs.
type queue struct {
	name            string
	service         string
	priority        int
	workMS          int     // mean run time of a task
	width           float64 // mean number of tasks in a stage
	cpu             int     // mean millicores of a task
	share           float64 // share of the jobs, relative to the other queues
	targetLatencyMS int
	checkpointShare float64 // share of the jobs whose tasks write checkpoints
	gpus            string  // numbers of accelerators that tasks may request, as a TOML array
	gang            bool    // the tasks of a stage start together
	longRunning     bool
}

// sites lists the generated deployments.
var sites = []site{
	{ // as many core machines as voting members, without a spare
		name: "no-spare", zones: 3, coresPerZone: 1, toleratedLosses: 1, maxLeaseMS: 6000, stopMS: 700, rackSize: 3, jobsPerSecond: 7,
		services: []service{{"ledger", 3, 16000, 0}, {"lathe", 2, 32000, 8}},
		queues: []queue{
			{name: "post", service: "ledger", priority: 0, workMS: 600, width: 5, cpu: 250, share: 6, targetLatencyMS: 800},
			{name: "close", service: "ledger", priority: 2, workMS: 3500, width: 9, cpu: 500, share: 0.4, targetLatencyMS: 4000, checkpointShare: 0.8},
			{name: "turn", service: "lathe", priority: 1, workMS: 4500, width: 1.5, cpu: 15000, share: 0.3, targetLatencyMS: 1500, checkpointShare: 0.9, gpus: "[2, 8]", gang: true},
			{name: "tail", service: "ledger", priority: 1, workMS: 400, width: 5, cpu: 500, share: 0.05, targetLatencyMS: 3000, longRunning: true},
		},
	},
	{ // two spare core machines
		name: "two-spares", zones: 5, coresPerZone: 1, toleratedLosses: 1, maxLeaseMS: 10000, stopMS: 500, rackSize: 2, jobsPerSecond: 8,
		services: []service{{"office", 2, 16000, 0}, {"yard", 1, 32000, 8}},
		queues: []queue{
			{name: "look", service: "office", priority: 0, workMS: 500, width: 5, cpu: 250, share: 6, targetLatencyMS: 800},
			{name: "bill", service: "office", priority: 2, workMS: 3600, width: 10, cpu: 500, share: 0.4, targetLatencyMS: 4000, checkpointShare: 0.7},
			{name: "haul", service: "yard", priority: 1, workMS: 5000, width: 2, cpu: 15000, share: 0.3, targetLatencyMS: 1500, checkpointShare: 0.9, gpus: "[2, 4]", gang: true},
		},
	},
	{ // long days with hundreds of configuration changes, and few workers with a label that many jobs require
		name: "long-days", zones: 3, coresPerZone: 2, toleratedLosses: 1, maxLeaseMS: 6000, stopMS: 900, rackSize: 3, jobsPerSecond: 5,
		lengthS: 130, labelShare: 0.4, configChanges: 200,
		services: []service{{"archive", 1, 16000, 0}, {"studio", 1, 32000, 8}},
		queues: []queue{
			{name: "fetch", service: "archive", priority: 0, workMS: 600, width: 4, cpu: 250, share: 6, targetLatencyMS: 800},
			{name: "index", service: "archive", priority: 2, workMS: 4000, width: 6, cpu: 500, share: 0.3, targetLatencyMS: 4000, checkpointShare: 0.8},
			{name: "master", service: "studio", priority: 1, workMS: 5600, width: 1.6, cpu: 15000, share: 0.2, targetLatencyMS: 1500, checkpointShare: 0.9, gpus: "[2, 4, 8]"},
			{name: "take", service: "studio", priority: 1, workMS: 5000, width: 1.6, cpu: 12000, share: 0.1, targetLatencyMS: 1500, checkpointShare: 0.9, gpus: "[4, 8]", gang: true},
			{name: "proof", service: "studio", priority: 2, workMS: 3000, width: 4, cpu: 2800, share: 0.4, targetLatencyMS: 3000, checkpointShare: 0.8, gpus: "[1]"},
			{name: "listen", service: "archive", priority: 1, workMS: 400, width: 4, cpu: 600, share: 0.05, targetLatencyMS: 3000, longRunning: true},
		},
	},
	{ // few workers with a label that most jobs require, and a burst of large jobs for them at the end
		name: "few-of-a-kind", zones: 2, coresPerZone: 2, toleratedLosses: 1, maxLeaseMS: 6000, stopMS: 900, rackSize: 3, jobsPerSecond: 4,
		lengthS: 30, labelShare: 0.7, lateBurst: "master",
		services: []service{{"archive", 2, 16000, 0}, {"studio", 1, 32000, 8}},
		queues: []queue{
			{name: "fetch", service: "archive", priority: 0, workMS: 600, width: 4, cpu: 250, share: 6, targetLatencyMS: 800},
			{name: "master", service: "studio", priority: 1, workMS: 5600, width: 3, cpu: 15000, share: 0.3, targetLatencyMS: 1500, checkpointShare: 0.9, gpus: "[4, 6]"},
			{name: "proof", service: "studio", priority: 2, workMS: 3000, width: 3, cpu: 2800, share: 0.8, targetLatencyMS: 3000, checkpointShare: 0.8, gpus: "[1]"},
			{name: "listen", service: "studio", priority: 1, workMS: 400, width: 2, cpu: 600, share: 0.05, targetLatencyMS: 3000, longRunning: true},
		},
	},
	{ // slightly more demand for accelerators than capacity: gangs have priority over single tasks of wide jobs
		name: "scarce-accelerators", zones: 2, coresPerZone: 2, toleratedLosses: 1, maxLeaseMS: 6000, stopMS: 400, rackSize: 3, jobsPerSecond: 6.8, lengthS: 70,
		services: []service{{"office", 2, 16000, 0}, {"kiln", 3, 32000, 8}},
		queues: []queue{
			{name: "look", service: "office", priority: 0, workMS: 500, width: 5, cpu: 250, share: 6, targetLatencyMS: 800},
			{name: "fire", service: "kiln", priority: 1, workMS: 5600, width: 2, cpu: 6000, share: 0.3, targetLatencyMS: 1500, checkpointShare: 0.9, gpus: "[2, 4, 8]", gang: true},
			{name: "glaze", service: "kiln", priority: 2, workMS: 3000, width: 12, cpu: 2800, share: 0.55, targetLatencyMS: 3000, checkpointShare: 0.8, gpus: "[1]"},
		},
	},
	{ // the same scarcity, with many short single tasks and larger gangs of the same priority
		name: "scarce-equals", zones: 3, coresPerZone: 1, toleratedLosses: 1, maxLeaseMS: 8000, stopMS: 600, rackSize: 2, jobsPerSecond: 5.95, lengthS: 70,
		services: []service{{"mill", 1, 16000, 0}, {"press", 2, 32000, 8}},
		queues: []queue{
			{name: "grind", service: "mill", priority: 0, workMS: 500, width: 4, cpu: 250, share: 4, targetLatencyMS: 800},
			{name: "stamp", service: "press", priority: 1, workMS: 4000, width: 1.6, cpu: 12000, share: 0.75, targetLatencyMS: 2000, checkpointShare: 0.5, gpus: "[2, 4]"},
			{name: "strike", service: "press", priority: 1, workMS: 2000, width: 8, cpu: 2000, share: 1.25, targetLatencyMS: 2500, checkpointShare: 0.3, gpus: "[1]"},
		},
	},
	{
		name: "one-hall", zones: 1, coresPerZone: 3, toleratedLosses: 1, maxLeaseMS: 4000, stopMS: 1500, rackSize: 64, jobsPerSecond: 6,
		services: []service{{"press", 6, 16000, 0}},
		queues: []queue{
			{name: "proof", service: "press", priority: 0, workMS: 600, width: 5, cpu: 300, share: 6, targetLatencyMS: 900},
			{name: "plates", service: "press", priority: 2, workMS: 4000, width: 8, cpu: 700, share: 0.5, targetLatencyMS: 4000, checkpointShare: 0.8},
		},
	},
	{
		name: "five-halls", zones: 5, coresPerZone: 2, toleratedLosses: 2, maxLeaseMS: 8000, stopMS: 600, rackSize: 2, jobsPerSecond: 9,
		services: []service{{"mill", 2, 16000, 0}, {"kiln", 1, 32000, 8}},
		queues: []queue{
			{name: "grind", service: "mill", priority: 0, workMS: 500, width: 6, cpu: 250, share: 7, targetLatencyMS: 800},
			{name: "sieve", service: "mill", priority: 2, workMS: 3000, width: 10, cpu: 500, share: 0.4, targetLatencyMS: 4000, checkpointShare: 0.7},
			{name: "fire", service: "kiln", priority: 1, workMS: 5000, width: 1.5, cpu: 15000, share: 0.4, targetLatencyMS: 1500, checkpointShare: 0.9, gpus: "[4, 8]", gang: true},
			{name: "watch", service: "mill", priority: 1, workMS: 500, width: 4, cpu: 500, share: 0.04, targetLatencyMS: 3000, longRunning: true},
		},
	},
	{
		name: "many-queues", zones: 2, coresPerZone: 2, toleratedLosses: 1, maxLeaseMS: 4000, stopMS: 900, rackSize: 3, jobsPerSecond: 8,
		services: []service{{"desk", 3, 16000, 0}, {"loom", 2, 8000, 0}},
		queues: []queue{
			{name: "ask", service: "desk", priority: 0, workMS: 400, width: 3, cpu: 200, share: 5, targetLatencyMS: 700},
			{name: "file", service: "desk", priority: 1, workMS: 900, width: 4, cpu: 300, share: 2, targetLatencyMS: 1500},
			{name: "sort", service: "desk", priority: 2, workMS: 2000, width: 6, cpu: 400, share: 0.8, targetLatencyMS: 3000, checkpointShare: 0.5},
			{name: "weave", service: "loom", priority: 1, workMS: 1500, width: 4, cpu: 500, share: 1, targetLatencyMS: 2000},
			{name: "mend", service: "loom", priority: 2, workMS: 5000, width: 5, cpu: 600, share: 0.2, targetLatencyMS: 5000, checkpointShare: 0.9},
			{name: "hum", service: "loom", priority: 1, workMS: 400, width: 3, cpu: 300, share: 0.05, targetLatencyMS: 3000, longRunning: true},
		},
	},
}
