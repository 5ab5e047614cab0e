package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"sedgevale/internal/peers"
)

// peersCmd queries a scheduler about its peers.
type peersCmd struct {
	Show *peersShowCmd `arg:"subcommand:show" help:"Show the peers, and the load of each worker that they report."`
}

// peersShowCmd shows the peers of a scheduler and the load of the workers.
type peersShowCmd struct {
	Ops  string `arg:"required,--ops" placeholder:"HOST:PORT" help:"The scheduler's operator address: ops in its file."`
	JSON bool   `arg:"--json" help:"Print JSON instead of tables."`
	All  bool   `arg:"--all" help:"Show all workers, also those where no scheduler has jobs in flight."`
}

// opsTimeout is the timeout of a call to a scheduler's operator address.
const opsTimeout = 5 * time.Second

// Run requests the status of the peers and prints it.
func (p peersShowCmd) Run() error { return p.show(os.Stdout) }

func (p peersShowCmd) show(out io.Writer) error {
	body, err := getOpsPage(p.Ops, "/admin/peers")
	if errors.Is(err, errNotFound) {
		return fmt.Errorf("the scheduler at %s has no peers: its file needs peer_listen and peers (docs/PEERS.md)", p.Ops)
	}
	if err != nil {
		return err
	}
	if p.JSON {
		_, err := out.Write(body)
		return err
	}
	var s peers.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("the answer of %s is not of this version: %w", p.Ops, err)
	}
	return printPeers(out, s, p.All)
}

// maxOpsResponseBytes bounds the response from a scheduler's operator address.
const maxOpsResponseBytes = 16 << 20

// errNotFound is returned by getOpsPage for a page that the scheduler does not serve.
var errNotFound = errors.New("no such page")

// getOpsPage requests a page from a scheduler's operator address. It returns errNotFound if the scheduler does not serve it.
func getOpsPage(address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), opsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOpsResponseBytes))
	err = errors.Join(err, response.Body.Close())
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode == http.StatusNotFound:
		return nil, errNotFound
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s answers %s: %s", address, response.Status, body)
	}
	return body, nil
}

// printPeers prints the peers of a scheduler, and the load of all workers or only of those with load.
func printPeers(out io.Writer, s peers.Status, all bool) error {
	c := s.Counts
	_, err := fmt.Fprintf(out, "scheduler %d of %d; %d boxes, %d of them its part; %d datagrams (%d bytes) sent, %d received, %d refused\n\n",
		s.Self, len(s.Members), c.Workers, c.Subset, c.Sent, c.SentBytes, c.Received, c.Rejected)
	if err == nil && s.FailureDetection {
		_, err = fmt.Fprintf(out, "%s\n\n", rollout(s))
	}
	if err != nil {
		return err
	}
	t := newTable(out)
	t.row("NUMBER\tSTATE\tHEARD\tLOSS\tREVISION\tIN FORCE")
	for _, m := range s.Members {
		heard := "never"
		if m.HeardMS >= 0 {
			heard = (time.Duration(m.HeardMS) * time.Millisecond).String() + " ago"
		}
		revision, state := "?", ""
		switch {
		case m.Digest != "":
			revision, state = fmt.Sprintf("%d %s", m.Revision, m.Digest), divergence(m)
		case !isPresent(m):
			revision = "-"
		}
		t.row("%d\t%s\t%s\t%.0f%%\t%s\t%s", m.Number, m.State, heard, 100*m.Loss, revision, state)
	}
	t.row("\nBOX\tOURS\tOTHERS\tTELLERS\tOLDEST\tAUDIENCE")
	for _, b := range s.Workers {
		if !all && b.Ours == (peers.Load{}) && b.Reporters == 0 {
			continue
		}
		t.row("%s\t%s\t%s\t%d\t%dms\t%v", b.ID, formatLoad(b.Ours), formatLoad(b.Others), b.Reporters, b.OldestMS, b.Subscribers)
	}
	return t.flush()
}

// isPresent reports whether a member is this scheduler or a peer that has not been declared dead.
func isPresent(m peers.MemberStatus) bool {
	return m.State == "self" || m.State == "alive" || m.State == "doubted"
}

// divergence describes how a member's configuration differs from the newest one. It is empty if they are equal.
func divergence(m peers.MemberStatus) string {
	switch {
	case m.BehindMS >= 0:
		return "behind " + formatSeconds(m.BehindMS)
	case m.Differs:
		return "differs"
	}
	return ""
}

// formatSeconds formats milliseconds as a duration in whole seconds.
func formatSeconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Truncate(time.Second).String()
}

// rollout returns the number of members that have applied the newest configuration, and a list of those that have not.
func rollout(s peers.Status) string {
	var behind, differ, unknown []string
	present := 0
	for _, m := range s.Members {
		number := strconv.Itoa(m.Number)
		switch {
		case !isPresent(m):
			continue
		case m.Digest == "":
			unknown = append(unknown, number)
		case m.BehindMS >= 0:
			behind = append(behind, fmt.Sprintf("%s (%s)", number, formatSeconds(m.BehindMS)))
		case m.Differs:
			differ = append(differ, number)
		}
		present++
	}
	line := fmt.Sprintf("revision %d in force at %d of %d", s.Newest, present-len(behind)-len(differ)-len(unknown), present)
	for _, part := range []struct {
		what string
		who  []string
	}{{"behind", behind}, {"differs", differ}, {"not known", unknown}} {
		if len(part.who) > 0 {
			line += "; " + part.what + ": " + strings.Join(part.who, ", ")
		}
	}
	return line
}

// formatLoad formats the number of slots that jobs in flight occupy, and the number of waiting jobs if there are any.
func formatLoad(o peers.Load) string {
	if o.Waiting == 0 {
		return fmt.Sprint(o.Slots)
	}
	return fmt.Sprintf("%d (%d wait)", o.Slots, o.Waiting)
}
