package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"sedgevale/internal/peers"
)

type peersCmd struct {
	Show *peersShowCmd `arg:"subcommand:show" help:"Show who is there, and what is told of each box."`
}

type peersShowCmd struct {
	Ops  string `arg:"required,--ops" placeholder:"HOST:PORT" help:"The scheduler's second address: ops in its file."`
	JSON bool   `arg:"--json" help:"Write JSON instead of tables."`
	All  bool   `arg:"--all" help:"Show all boxes, also those where nobody has anything out."`
}

// askFor is how long a scheduler may take to answer a question.
const askFor = 5 * time.Second

// Run asks the scheduler and prints the answer.
func (p peersShowCmd) Run() error { return p.show(os.Stdout) }

func (p peersShowCmd) show(out io.Writer) error {
	body, err := askOps(p.Ops, "/admin/peers")
	if errors.Is(err, errNoPage) {
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

var errNoPage = errors.New("no such page")

// askOps reads a page of a scheduler's second address.
func askOps(addr, path string) ([]byte, error) {
	h := http.Client{Timeout: askFor}
	a, err := h.Get("http://" + addr + path)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(io.LimitReader(a.Body, 16<<20))
	switch {
	case err != nil:
		return nil, err
	case a.StatusCode == http.StatusNotFound:
		return nil, errNoPage
	case a.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s answers %s: %s", addr, a.Status, body)
	}
	return body, nil
}

func printPeers(out io.Writer, s peers.Status, all bool) error {
	c := s.Counts
	fmt.Fprintf(out, "scheduler %d of %d; %d boxes, %d of them its part; %d datagrams (%d bytes) sent, %d received, %d refused\n\n",
		s.Self, len(s.Members), c.Boxes, c.Part, c.Sent, c.SentBytes, c.Received, c.Refused)
	if s.Watched {
		fmt.Fprintf(out, "%s\n\n", inForce(s))
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NUMBER\tSTATE\tHEARD\tLOSS\tREVISION\tIN FORCE")
	for _, m := range s.Members {
		heard := "never"
		if m.HeardMS >= 0 {
			heard = (time.Duration(m.HeardMS) * time.Millisecond).String() + " ago"
		}
		revision, state := "?", ""
		switch {
		case m.Digest != "":
			revision, state = fmt.Sprintf("%d %s", m.Revision, m.Digest), standing(m)
		case !there(m):
			revision = "-"
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%.0f%%\t%s\t%s\n", m.Number, m.State, heard, 100*m.Loss, revision, state)
	}
	fmt.Fprintln(t, "\nBOX\tOURS\tOTHERS\tTELLERS\tOLDEST\tAUDIENCE")
	for _, b := range s.Boxes {
		if !all && b.Ours == (peers.Out{}) && b.Tellers == 0 {
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%dms\t%v\n", b.ID, slotsOf(b.Ours), slotsOf(b.Others), b.Tellers, b.OldestMS, b.Audience)
	}
	return t.Flush()
}

// there reports whether a member counts as there.
func there(m peers.MemberStatus) bool {
	return m.State == "self" || m.State == "alive" || m.State == "doubted"
}

// standing tells how a member stands to the newest configuration; empty: it has it in force.
func standing(m peers.MemberStatus) string {
	switch {
	case m.BehindMS >= 0:
		return "behind " + briefly(m.BehindMS)
	case m.Differs:
		return "differs"
	}
	return ""
}

func briefly(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Truncate(time.Second).String()
}

// inForce sums up where the newest configuration is in force, and names those where it is not.
func inForce(s peers.Status) string {
	var behind, differ, silent []string
	present := 0
	for _, m := range s.Members {
		number := strconv.Itoa(m.Number)
		switch {
		case !there(m):
			continue
		case m.Digest == "":
			silent = append(silent, number)
		case m.BehindMS >= 0:
			behind = append(behind, fmt.Sprintf("%s (%s)", number, briefly(m.BehindMS)))
		case m.Differs:
			differ = append(differ, number)
		}
		present++
	}
	line := fmt.Sprintf("revision %d in force at %d of %d", s.Newest, present-len(behind)-len(differ)-len(silent), present)
	for _, part := range []struct {
		what string
		who  []string
	}{{"behind", behind}, {"differs", differ}, {"not known", silent}} {
		if len(part.who) > 0 {
			line += "; " + part.what + ": " + strings.Join(part.who, ", ")
		}
	}
	return line
}

func slotsOf(o peers.Out) string {
	if o.Waiting == 0 {
		return fmt.Sprint(o.Slots)
	}
	return fmt.Sprintf("%d (%d wait)", o.Slots, o.Waiting)
}
