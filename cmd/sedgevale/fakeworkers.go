package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os/signal"
	"syscall"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/scheduler"
)

// maxRunTimeFactor is the longest run time of a job as a multiple of the mean.
const maxRunTimeFactor = 10

// fakeWorkersCmd runs a fake worker for each worker of an operator's file.
type fakeWorkersCmd struct {
	File  string        `arg:"-f,required,--file" help:"The operator's file that names the workers."`
	Seed  uint64        `arg:"--seed" default:"1" help:"The seed of random numbers."`
	Work  time.Duration `arg:"--work" default:"100ms" help:"The mean run time of a job."`
	Fault []string      `arg:"separate,--fault" placeholder:"POINT=SHARE" help:"Inject a fault at a point for a share of the jobs: turn-away, cut-early, error, cut-begun, garbage, hang, cut-done, failed."`
}

// Run serves at the addresses of the file's workers until SIGTERM or SIGINT.
func (c fakeWorkersCmd) Run() error {
	c.Fault = splitCommas(c.Fault)
	if err := requireFiles(c.File); err != nil {
		return err
	}
	file, err := scheduler.ReadFile(c.File)
	if err != nil {
		return err
	}
	faults := fake.FaultShares{}
	for _, f := range c.Fault {
		if err := faults.ParseFault(f); err != nil {
			return err
		}
	}
	if c.Work <= 0 {
		return fmt.Errorf("--work %v must be above 0", c.Work)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	results := map[int]*fake.ResultStore{} // by cell, within which workers deduplicate requests
	for _, m := range file.KnownWorkers.Members {
		if results[m.Cell] == nil {
			results[m.Cell] = fake.NewResultStore(0)
		}
		worker := fake.NewWorker(fake.WorkerOptions{
			ID: m.ID, Slots: int(m.Size), Faults: faults, Seed: c.Seed ^ hashID(m.ID), Results: results[m.Cell], Work: c.runTime,
		})
		if _, err := worker.Listen(m.HostPort); err != nil {
			return fmt.Errorf("box %s: %w", m.ID, err)
		}
		defer func() { _ = worker.Close() }()
		fmt.Printf("box %s listens on %s\n", m.ID, m.HostPort)
	}
	<-ctx.Done()
	return nil
}

// runTime draws the run time of a job from an exponential distribution with mean Work, bounded by maxRunTimeFactor.
func (c fakeWorkersCmd) runTime(_ string, random *rand.Rand) time.Duration {
	return time.Duration(min(maxRunTimeFactor, random.ExpFloat64()) * float64(c.Work))
}

// hashID returns a hash of a worker's ID. XORed into the seed, it gives each worker its own random numbers.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}
