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

type standinCmd struct {
	File  string        `arg:"-f,required,--file" help:"Operator's file whose workers are played."`
	Seed  uint64        `arg:"--seed" default:"1" help:"For what is drawn at random."`
	Work  time.Duration `arg:"--work" default:"100ms" help:"How long a job takes on average."`
	Fault []string      `arg:"separate,--fault" placeholder:"POINT=SHARE" help:"Fail at a point for a share of the jobs: turn-away, cut-early, error, cut-begun, garbage, hang, cut-done, failed."`
}

// Run plays the workers of an operator's file until SIGTERM or SIGINT.
func (c standinCmd) Run() error {
	c.Fault = splitCommas(c.Fault)
	if err := existing(c.File); err != nil {
		return err
	}
	file, err := scheduler.ReadFile(c.File)
	if err != nil {
		return err
	}
	faults := fake.Faults{}
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
	shelves := map[int]*fake.Shelf{}
	for _, m := range file.Known.Members {
		if shelves[m.Cell] == nil {
			shelves[m.Cell] = fake.NewShelf(0)
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(m.ID))
		box := fake.NewBox(fake.BoxOptions{ID: m.ID, Slots: int(m.Size), Faults: faults, Seed: c.Seed ^ h.Sum64(),
			Shelf: shelves[m.Cell], Work: func(_ string, r *rand.Rand) time.Duration {
				return time.Duration(min(10, r.ExpFloat64()) * float64(c.Work))
			}})
		if _, err := box.Listen(m.HostPort); err != nil {
			return fmt.Errorf("box %s: %w", m.ID, err)
		}
		defer box.Close()
		fmt.Printf("box %s listens on %s\n", m.ID, m.HostPort)
	}
	<-ctx.Done()
	return nil
}
