package sse

import (
	"net/url"
	"strconv"
	"strings"
)

// eventID identifies an event by the process that accepted the request, the sequence number, the class
// and the request id. It also records whether the event is final, so that a client that has received the whole stream is
// recognized even after the job was evicted.
type eventID struct {
	epoch   string // Handler.epoch of the accepting process
	seq     int    // sequence number within the stream, starting at 1
	final   bool
	class   string
	request string
}

const finalSuffix = ".end"

func (id eventID) String() string {
	seq := strconv.Itoa(id.seq)
	if id.final {
		seq += finalSuffix
	}
	return id.epoch + ":" + seq + ":" + url.QueryEscape(id.class) + ":" + url.QueryEscape(id.request)
}

// parseEventID parses the Last-Event-ID of a client, which may be arbitrary text.
func parseEventID(s string) (id eventID, ok bool) {
	parts := strings.Split(s, ":")
	if len(parts) != 4 || parts[0] == "" || len(s) > 1024 {
		return id, false
	}
	id.epoch = parts[0]
	seq, final := strings.CutSuffix(parts[1], finalSuffix)
	v, err := strconv.ParseUint(seq, 10, 31)
	if err != nil {
		return id, false
	}
	id.seq, id.final = int(v), final
	var err1, err2 error
	id.class, err1 = url.QueryUnescape(parts[2])
	id.request, err2 = url.QueryUnescape(parts[3])
	return id, err1 == nil && err2 == nil && id.class != "" && id.request != ""
}
