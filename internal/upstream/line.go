package upstream

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"sedgevale/dispatcher"
)

// responseLine is one line of a worker's response, a JSON object. Fields that are not listed here are ignored.
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

// lineSplitter splits a body that arrives in chunks into lines. It buffers an incomplete last line.
type lineSplitter struct{ partial []byte }

var errLineTooLong = errors.New("response line too long")

// maxLineBytes bounds a line. A result of 64 KiB takes 384 KiB if JSON escapes each byte; the rest is for the other fields.
const maxLineBytes = 512 << 10

// maxResponseBytes bounds a response: the longest line, and the lines before it that report the start and progress.
const maxResponseBytes = 2 * maxLineBytes

// next returns the first complete line, which consists of the buffered bytes and the start of b, and the rest of b. If b
// completes no line, next buffers b and returns nil. The line is valid until the next call.
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

// loadReport returns the reported values that the dispatcher uses, or nil if there are none.
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

// parseLoadHeader parses a Server-Load field, name=value,name=value. Malformed pairs are ignored: a load report is only a hint,
// and the response that carries it is still valid.
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
