package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

const (
	// What a watch may wait; the next goes out at once. Short, since a watch that has
	// fallen silent is noticed only after it, and drains meanwhile count as told: 6 s after
	// it fell silent, and 6 s after discovery had them and could be reached again. So what
	// is below, the first wait of the module's (0.3 s) and an answer's second way must come
	// to less; TestSilenceFits adds them up.
	watchWait   = 2500 * time.Millisecond
	answerWait  = 1200 * time.Millisecond // beyond that wait, before the watch counts as broken
	connectWait = 700 * time.Millisecond
	formerWait  = 2 * time.Second // for a last word from an address that was given up
	maxList     = 8 << 20
)

// Watcher asks discovery for the list and its changes, over one connection.
type Watcher struct {
	loop    *evloop.Loop
	mu      sync.Mutex
	current string // addr, for others than the loop
	tell    func(List)
	broken  func()
	log     *slog.Logger

	// For the loop alone.
	addr    string
	on      bool
	version int64
	whole   bool  // the next call asks for the whole list
	link    *link // nil: no connection
	former  *link // of the address before; its last answer still counts. nil: none
	timer   *time.Timer
}

// NewWatcher returns a Watcher that begins after the version known. Tell gets
// each answer, broken is called when a watch fails; a new one must then be
// asked for. Both are called on the loop.
func NewWatcher(loop *evloop.Loop, addr string, known List, tell func(List), broken func(), log *slog.Logger) *Watcher {
	return &Watcher{loop: loop, addr: addr, current: addr, tell: tell, broken: broken, log: log, version: known.Revision}
}

// Known has the watch begin after a version that the address has told another
// process. A version that is from elsewhere says nothing here. It must be called
// before Watch.
func (w *Watcher) Known(version int64, addr string) {
	w.loop.Do(func() { w.version, w.whole = version, addr != w.addr })
}

// Addr returns the address that is asked.
func (w *Watcher) Addr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// Watch asks for the list of workers and all its changes. While a watch goes on
// it changes nothing. It may be called from anywhere.
func (w *Watcher) Watch() {
	w.loop.Do(func() {
		if !w.on && w.addr != "" {
			w.on = true
			w.ask()
		}
	})
}

// Move has another address asked from now on; with none the list stands as it
// is. Whoever answers there may count versions differently, so the whole list is
// asked for first. Until it has come, what the former address still tells counts:
// it may be news of a drain. It may be called from anywhere.
func (w *Watcher) Move(addr string) {
	w.loop.Do(func() {
		if addr == w.addr {
			return
		}
		if w.timer != nil {
			w.timer.Stop()
		}
		w.former.drop()
		w.former, w.link = w.link, nil
		w.addr, w.on, w.whole = addr, addr != "", true
		w.mu.Lock()
		w.current = addr
		w.mu.Unlock()
		if former := w.former; former != nil && former.asked && w.on {
			time.AfterFunc(formerWait, func() { w.loop.Do(former.drop) })
		} else {
			former.drop()
		}
		if w.on {
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
	due := answerWait
	target := "/v1/endpoints"
	if !l.w.whole {
		due += watchWait
		target += "?since=" + strconv.FormatInt(l.w.version, 10) +
			"&timeout_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
	}
	if l.w.timer != nil {
		l.w.timer.Stop()
	}
	l.w.timer = time.AfterFunc(due, func() { l.w.loop.Do(func() { l.late() }) })
	l.due = time.Now().Add(due)
	out := http1.AppendRequest(nil, "GET", target)
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
	if l.asked && !time.Now().Before(l.due) {
		l.fail(errLate)
	}
}

// drop forgets the connection, if there is one, and closes it.
func (l *link) drop() {
	if l == nil || l.dropped {
		return
	}
	l.asked, l.dropped = false, true
	if l.w.link == l {
		l.w.link = nil
	}
	if l.w.former == l {
		l.w.former = nil
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
	if l == w.former { // closing is what it was expected to do
		l.drop()
		return
	}
	l.drop()
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
	w.version = list.Revision
	if l == w.former {
		l.drop()
		w.tell(list)
		return
	}
	w.whole = false
	w.former.drop()
	if l.parser.Head.Close {
		l.drop()
	}
	w.tell(list)
	w.ask()
}
