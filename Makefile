.PHONY: build test lint run torture powercut faults changes simulate model mutations system sites overload

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...
	go tool -modfile=.ci/tools.mod golangci-lint run ./...

# Fake workers and a scheduler with a journal, until Ctrl-C; both end together.
run: build
	@mkdir -p logs
	@{ cat deploy/operator.toml; printf '\n[journal]\ndir = "logs/journal"\n'; } > logs/run.toml
	@bin/sedgevale fake-workers -f logs/run.toml & workers=$$!; trap 'kill $$workers 2>/dev/null' EXIT; \
		trap 'kill $$serve 2>/dev/null' INT TERM; bin/sedgevale serve -f logs/run.toml & serve=$$!; \
		wait $$serve; wait $$serve

# A real scheduler killed KILLS times under load; its journal is checked against what the workers ran.
KILLS ?= 1000
SEED ?= 1
torture:
	go test -count=1 -timeout 0 -v ./internal/crashtest -run TestKills -args -kills $(KILLS) -seed $(SEED)

# Power cuts over a disk in memory that fails.
SEEDS ?= 10000
powercut:
	go test -count=1 -timeout 0 -v ./internal/journal/store -run TestPowerFailures -args -seeds $(SEEDS)

# Many schedulers as processes of their own, with faults between them.
ROUNDS ?= 300
faults:
	go test -count=1 -timeout 0 -v ./internal/faultinjection -run TestManySchedulersThroughFaults -args -rounds $(ROUNDS) -seed $(SEED)

# Tenants that are added, removed and change their shares at many schedulers, with faults meanwhile; and a scheduler frozen for 10 s.
CHANGES ?= 1000
changes:
	go test -count=1 -timeout 0 -v ./internal/faultinjection -run 'TestRandomTenantChanges|TestFrozenThroughAChange' \
		-args -changes $(CHANGES) -long -seed $(SEED)

# Whole small systems on a virtual clock, through random faults.
SIM_SEEDS ?= 1000
simulate:
	go test -count=1 -timeout 0 ./internal/system/simulation -args -seeds $(SIM_SEEDS) -first $(SEED)

# Register and membership through all interleavings of small scopes, and at random beyond: some minutes, some GB.
MODEL_STATES ?= 1500000
MODEL_SEEDS ?= 300000
model:
	go test -count=1 -timeout 0 -v -parallel 2 ./coord/membership -run TestModel -args -model.states $(MODEL_STATES) -model.seeds $(MODEL_SEEDS)
	go test -count=1 -timeout 0 -v ./coord/shard -run TestModel -args -model.seeds $(MODEL_SEEDS)
	go test -count=1 -timeout 0 -v ./internal/system/core -run TestModel -args -model.seeds $(MODEL_SEEDS)

# Breaks the system on purpose, one way at a time, and says which tests notice.
mutations:
	scripts/mutations.sh

# A small system on loopback with fake workers and a client, until Ctrl-C.
system: build
	bin/sedgevale local

# Deployments of other shapes for the bench; WIRE is the bench's table of words.
sites:
	go run ./scripts/sitegen -wire $(WIRE)

# Crowds of clients that misbehave at each port of real processes with low limits; alone on the machine, some minutes.
overload:
	go test -count=1 -timeout 0 -tags overload -v ./internal/overloadtest
