package upstream

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"sedgevale/dispatcher"
)

// responseLine is the part of one JSON object of a worker's answer that is used.
type responseLine struct {
	ID     string             `json:"id"`
	State  string             `json:"state"`
	Share  float64            `json:"share"`
	Result *string            `json:"result"`
	Load   map[string]float64 `json:"load"`
}

func parseLine(b []byte) (l responseLine, err error) {
	err = json.Unmarshal(b, &l)
	return l, err
}

// lineSplitter splits a body that arrives in chunks into lines. It keeps the incomplete last line.
type lineSplitter struct{ partial []byte }

var errLineTooLong = errors.New("line too long")

// maxLineBytes bounds a line: a result of 64 KiB of which JSON escapes each byte, and some more.
const maxLineBytes = 512 << 10

// maxResponseBytes bounds an answer: the longest line, and the lines of starts and progress before it.
const maxResponseBytes = 2 * maxLineBytes

// next returns the first complete line of b, with what was kept before it, and the rest of b. If there is none it keeps b and
// returns nil. The line is valid until the next call.
func (l *lineSplitter) next(b []byte) (line, rest []byte, err error) {
	for i, c := range b {
		if c != '\n' {
			continue
		}
		line = b[:i]
		if len(l.partial) > 0 {
			line = append(l.partial, line...)
			l.partial = l.partial[:0]
		}
		return line, b[i+1:], nil
	}
	if len(l.partial)+len(b) > maxLineBytes {
		return nil, nil, errLineTooLong
	}
	l.partial = append(l.partial, b...)
	return nil, nil, nil
}

// loadReport returns the values that decisions use, or nil if there are none.
func loadReport(values map[string]float64) *dispatcher.LoadReport {
	var r dispatcher.LoadReport
	r.FreeSlots, r.HasFreeSlots = values["x0"]
	if r.InFlight, r.HasInFlight = values["rif"]; !r.HasInFlight {
		r.InFlight, r.HasInFlight = values["inflight"]
	}
	if !r.HasFreeSlots && !r.HasInFlight {
		return nil
	}
	return &r
}

// parseLoadHeader parses a Server-Load field, name=value,name=value. Malformed pairs are ignored: a report is a hint, and
// the answer with it is still valid.
func parseLoadHeader(s string) *dispatcher.LoadReport {
	values := map[string]float64{}
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if ok && err == nil && v == v && v < 1e12 && v > -1e12 {
			values[name] = v
		}
	}
	return loadReport(values)
}
