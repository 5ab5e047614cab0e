package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
	"sedgevale/internal/ops"
)

// maxErrorBytes bounds the error text in a scheduler's response.
const maxErrorBytes = 4096

// journalSettleCmd records an operator's verdict on a job whose outcome is unknown.
type journalSettleCmd struct {
	journalFlags
	ID      string `arg:"positional,required" help:"The job's Request-Id."`
	Verdict string `arg:"required,--verdict" placeholder:"V" help:"ran, did_not_run or unknown."`
	Why     string `arg:"required,--why" placeholder:"TEXT" help:"How that is known."`
	By      string `arg:"--by,env:USER" default:"an operator" help:"Who found it out."`
}

// Run records the verdict in the journal. If a scheduler is writing the journal, it asks that scheduler to record it.
func (c journalSettleCmd) Run() error {
	verdict, err := journal.ParseVerdict(c.Verdict)
	if err != nil {
		return fmt.Errorf("--verdict: %w", err)
	}
	if _, err := os.Stat(c.Dir); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	secret, err := c.secret()
	if err != nil {
		return err
	}
	n, err := store.DecideUnowned(store.Options{Dir: c.Dir, Secret: secret, Owner: store.Owner{PID: os.Getpid()}},
		c.ID, verdict, c.By, c.Why)
	var busy *store.BusyError
	if errors.As(err, &busy) {
		if busy.Owner.Ops == "" {
			return fmt.Errorf("%w, which has no operators' address to ask: set ops in its file, or settle when it has ended", err)
		}
		return c.settleAtScheduler(busy.Owner.Ops)
	}
	if err != nil {
		return fmt.Errorf("%w: %q", err, c.ID)
	}
	fmt.Printf("settled: %d\n", n)
	return nil
}

// settleAtScheduler asks the scheduler that writes the journal to record the verdict.
func (c journalSettleCmd) settleAtScheduler(address string) error {
	body, err := json.Marshal(ops.Decision{Job: c.ID, Verdict: c.Verdict, By: c.By, Why: c.Why})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), opsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/admin/journal/settle", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("the scheduler that writes the journal: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // the status decides; the text is only printed
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the scheduler at %s says %s", address, bytes.TrimSpace(text))
	}
	fmt.Printf("settled by the scheduler at %s\n", address)
	return nil
}
