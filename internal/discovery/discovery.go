package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

const (
	watchWait   = 10 * time.Second // what a watch may wait; the next goes out at once
	answerWait  = 3 * time.Second  // beyond that wait, before the watch counts as broken
	connectWait = time.Second
	maxList     = 8 << 20
)

// Watcher asks discovery for the list and its changes, over one connection.
type Watcher struct {
	loop   *evloop.Loop
	addr   string
	tell   func(List)
	broken func()
	log    *slog.Logger

	// For the loop alone.
	on      bool
	version int64
	link    *link // nil: no connection
	timer   *time.Timer
}

// NewWatcher returns a Watcher that begins after the version known. Tell gets
// each answer, broken is called when a watch fails; a new one must then be
// asked for. Both are called on the loop.
func NewWatcher(loop *evloop.Loop, addr string, known List, tell func(List), broken func(), log *slog.Logger) *Watcher {
	return &Watcher{loop: loop, addr: addr, tell: tell, broken: broken, log: log, version: known.Revision}
}

// Watch asks for the list of workers and all its changes. While a watch goes on
// it changes nothing. It may be called from anywhere.
func (w *Watcher) Watch() {
	w.loop.Do(func() {
		if !w.on {
			w.on = true
			w.ask()
		}
	})
}

// ask makes one call of a watch.
func (w *Watcher) ask() {
	if w.link == nil {
		w.link = &link{w: w, parser: http1.NewParser(http1.Response)}
		l := w.link
		w.loop.Dial(w.addr, connectWait, l, func(err error) { l.fail(fmt.Errorf("connecting: %w", err)) })
	} else {
		w.link.send()
	}
	l := w.link
	w.timer = time.AfterFunc(connectWait+watchWait+answerWait, func() {
		w.loop.Do(func() { l.late() })
	})
}

// link is a connection to discovery.
type link struct {
	w       *Watcher
	gc      evloop.Conn
	parser  *http1.Parser
	body    []byte
	asked   bool // an answer is to come
	due     time.Time
	dropped bool
}

var (
	errLate     = errors.New("no answer")
	errEnded    = errors.New("the connection ended")
	errLongList = errors.New("list too long")
	errUnasked  = errors.New("an answer that nothing was asked for")
)

// Opened is the loop's.
func (l *link) Opened(gc evloop.Conn) bool {
	l.gc = gc
	if l.dropped {
		return false
	}
	l.send()
	return true
}

func (l *link) send() {
	l.asked, l.body = true, l.body[:0]
	l.due = time.Now().Add(watchWait + answerWait)
	out := http1.AppendRequest(nil, "GET", "/v1/endpoints?since="+strconv.FormatInt(l.w.version, 10)+
		"&timeout_ms="+strconv.FormatInt(watchWait.Milliseconds(), 10))
	out = http1.AppendField(out, "Host", l.w.addr)
	_, _ = l.gc.Write(append(out, "\r\n"...)) // a failure closes the connection, and Closed tells
}

// Traffic is the loop's.
func (l *link) Traffic(gc evloop.Conn) bool {
	for !l.dropped {
		buf, _ := gc.Peek(-1)
		n, ev, part, err := l.parser.Next(buf)
		l.body = append(l.body, part...)
		evloop.Take(gc, n)
		switch {
		case err != nil:
			l.fail(err)
		case len(l.body) > maxList:
			l.fail(errLongList)
		case ev == http1.Headed && !l.asked:
			l.fail(errUnasked)
		case ev == http1.Ended && l.parser.Head.Status >= 200:
			l.answer()
		case ev == http1.More:
			return true
		}
	}
	return true
}

// Closed is the loop's.
func (l *link) Closed(evloop.Conn) {
	switch {
	case l.asked && l.parser.UntilClose():
		l.parser.Head.Close = true
		l.answer()
	case l.asked:
		l.fail(errEnded)
	case l.w.link == l:
		l.w.link = nil
	}
}

func (l *link) late() {
	if l.asked && time.Now().After(l.due) || l.gc == nil {
		l.fail(errLate)
	}
}

// drop forgets the connection and closes it.
func (l *link) drop() {
	l.asked, l.dropped = false, true
	if l.w.link == l {
		l.w.link = nil
	}
	if l.gc != nil {
		l.w.loop.Close(l.gc)
	}
}

// fail ends the watch; who wants to go on must ask for another.
func (l *link) fail(err error) {
	if l.dropped {
		return
	}
	w := l.w
	l.drop()
	w.timer.Stop()
	w.log.Warn("watch on discovery broke", "addr", w.addr, "err", err)
	w.on = false
	w.broken()
}

// answer tells what came and asks on at once, so that the watch continues.
func (l *link) answer() {
	w := l.w
	l.asked = false
	if status := l.parser.Head.Status; status != 200 {
		l.fail(fmt.Errorf("discovery answered %d", status))
		return
	}
	list, err := Parse(l.body)
	if err != nil {
		l.fail(err)
		return
	}
	w.timer.Stop()
	if l.parser.Head.Close {
		l.drop()
	}
	w.version = list.Revision
	w.tell(list)
	w.ask()
}
