package main

import (
	"fmt"
	"os"

	"sedgevale/internal/system/core"
)

// queuesCmd shows the queues of the shards that a core scheduler owns.
type queuesCmd struct {
	coreFlags
	Workers bool `arg:"--workers" help:"Show workers too."`
}

// Run prints the queues and the unschedulable jobs of each shard, and the workers with --workers.
func (c queuesCmd) Run() error {
	response := &core.QueuesResponse{}
	if err := c.call(core.MethodQueues, &core.QueuesRequest{}, response); err != nil {
		return err
	}
	if len(response.Shards) == 0 {
		_, err := fmt.Println("it owns no shard; `sedgevale members` tells who does")
		return err
	}
	t := newTable(os.Stdout)
	for _, s := range response.Shards {
		t.row("shard %s, token %d, %d records, %d replicas in step", s.Shard, s.Token, s.Records, s.InSync)
		t.row("QUEUE\tPRIORITY\tUNENDED\tPENDING\tHELD\tWAITING\tSIGMA\tUSUAL RUN")
		for _, queue := range s.Queues {
			t.row("%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.0f ms", queue.Name, queue.Priority, queue.Active, queue.Pending, queue.Allocated, queue.PendingDemand,
				queue.Limit, queue.MeanRunMS)
		}
		if len(s.Unschedulable) > 0 {
			t.row("WAITS BESIDE ROOM\tQUEUE\tTASKS\tFOR\tREASON\tWORKER\tKEPT FOR")
		}
		for _, job := range s.Unschedulable {
			t.row("%s\t%s\t%d\t%d ms\t%s\t%s\t%s", job.Job, job.Queue, job.Tasks, job.WaitedMS, job.Reason, job.Worker, job.ReservedFor)
		}
		if !c.Workers {
			continue
		}
		t.row("WORKER\tSTATE\tRUNS\tHELD\tSIGMA\tFAILING\tPACE")
		for _, w := range s.Workers {
			t.row("%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.1f", w.Ref, w.State, w.Runs, w.Allocated, w.LoadLimit, w.FailureRate, w.Slowdown)
		}
	}
	return t.flush()
}
