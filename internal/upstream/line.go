package upstream

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"sedgevale"
)

// answerLine is one object of a worker's answer, read into what is used of it.
type answerLine struct {
	ID     string             `json:"id"`
	State  string             `json:"state"`
	Share  float64            `json:"share"`
	Result *string            `json:"result"`
	Load   map[string]float64 `json:"load"`
}

func parseLine(b []byte) (l answerLine, err error) {
	err = json.Unmarshal(b, &l)
	return l, err
}

// lineSplitter cuts a body, which comes in parts, into lines. It keeps only a line
// that is not whole yet.
type lineSplitter struct{ partial []byte }

var errLineTooLong = errors.New("line too long")

// maxLineBytes bounds a line: a result of 64 KiB in which each byte is escaped.
const maxLineBytes = 512 << 10

// maxAnswerBytes bounds an answer: the longest line, and the starts and progress before it.
const maxAnswerBytes = 2 * maxLineBytes

// next returns the first whole line of b, and what follows it. Without a whole
// line it keeps b and returns nil. The line is valid until the next call.
func (l *lineSplitter) next(b []byte) (whole, rest []byte, err error) {
	for i, c := range b {
		if c != '\n' {
			continue
		}
		whole = b[:i]
		if len(l.partial) > 0 {
			whole = append(l.partial, whole...)
			l.partial = l.partial[:0]
		}
		return whole, b[i+1:], nil
	}
	if len(l.partial)+len(b) > maxLineBytes {
		return nil, nil, errLineTooLong
	}
	l.partial = append(l.partial, b...)
	return nil, nil, nil
}

// loadReport picks the values that decisions are made from; nil if there is none.
func loadReport(values map[string]float64) *sedgevale.Report {
	var r sedgevale.Report
	r.Free, r.HasFree = values["x0"]
	if r.Held, r.HasHeld = values["rif"]; !r.HasHeld {
		r.Held, r.HasHeld = values["inflight"]
	}
	if !r.HasFree && !r.HasHeld {
		return nil
	}
	return &r
}

// parseLoadHeader reads a report of the form name=value,name=value. What is malformed
// is left out: a report is advice, and the answer that carries it still counts.
func parseLoadHeader(s string) *sedgevale.Report {
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
