package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"sedgevale/internal/http1"
)

const (
	watchWait   = 10 * time.Second // what a watch may wait; the next goes out at once
	answerWait  = 3 * time.Second  // beyond that wait, before the watch counts as broken
	connectWait = time.Second
	maxList     = 8 << 20
)

// Watcher asks discovery for the list and its changes. It keeps one connection.
type Watcher struct {
	addr    string
	tell    func(List)
	broken  func()
	log     *slog.Logger
	asked   chan struct{}
	on      atomic.Bool
	version int64
	conn    net.Conn
	parser  *http1.Parser
	buf     []byte
}

// NewWatcher returns a Watcher that begins after the version known. Tell gets
// each answer, broken is called when a watch fails; a new one must then be
// asked for.
func NewWatcher(addr string, known List, tell func(List), broken func(), log *slog.Logger) *Watcher {
	return &Watcher{addr: addr, tell: tell, broken: broken, log: log, asked: make(chan struct{}, 1),
		version: known.Revision}
}

// Watch asks for the list of workers and all its changes. While a watch goes on
// it changes nothing.
func (w *Watcher) Watch() {
	if w.on.CompareAndSwap(false, true) {
		w.asked <- struct{}{}
	}
}

// Run works until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { w.asked <- struct{}{} })
	defer stop()
	defer w.hangUp()
	for {
		<-w.asked
		for ctx.Err() == nil {
			l, err := w.ask(ctx)
			if err != nil {
				if ctx.Err() == nil {
					w.log.Warn("watch on discovery broke", "addr", w.addr, "err", err)
					w.hangUp()
					w.on.Store(false)
					w.broken()
				}
				break
			}
			w.version = l.Revision
			w.tell(l)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func (w *Watcher) hangUp() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}

// ask makes one call of a watch.
func (w *Watcher) ask(ctx context.Context) (List, error) {
	if w.conn == nil {
		c, err := (&net.Dialer{Timeout: connectWait}).DialContext(ctx, "tcp", w.addr)
		if err != nil {
			return List{}, fmt.Errorf("connecting: %w", err)
		}
		w.conn, w.parser, w.buf = c, http1.NewParser(http1.Response), w.buf[:0]
	}
	stop := context.AfterFunc(ctx, func() { _ = w.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	target := "/v1/endpoints?since=" + strconv.FormatInt(w.version, 10) +
		"&timeout_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
	out := http1.AppendRequest(nil, "GET", target)
	out = http1.AppendField(out, "Host", w.addr)
	out = append(out, "\r\n"...)
	if err := w.conn.SetDeadline(time.Now().Add(watchWait + answerWait)); err != nil {
		return List{}, err
	}
	if _, err := w.conn.Write(out); err != nil {
		return List{}, fmt.Errorf("asking: %w", err)
	}
	status, body, err := w.answer()
	if err != nil {
		return List{}, fmt.Errorf("waiting for the answer: %w", err)
	}
	if status != 200 {
		return List{}, fmt.Errorf("discovery answered %d", status)
	}
	return Parse(body)
}

var errLongList = errors.New("list too long")

func (w *Watcher) answer() (status int, body []byte, err error) {
	for {
		n, ev, part, err := w.parser.Next(w.buf)
		if err != nil {
			return 0, nil, err
		}
		body = append(body, part...)
		w.buf = w.buf[:copy(w.buf, w.buf[n:])]
		if len(body) > maxList {
			return 0, nil, errLongList
		}
		switch {
		case ev == http1.Ended && w.parser.Head.Status >= 200:
			if w.parser.Head.Close {
				w.hangUp()
			}
			return w.parser.Head.Status, body, nil
		case ev == http1.More:
			have := len(w.buf)
			w.buf = append(w.buf, make([]byte, 4096)...)
			n, err := w.conn.Read(w.buf[have:])
			w.buf = w.buf[:have+n]
			if err != nil && n == 0 {
				if w.parser.UntilClose() && w.parser.Head.Status >= 200 {
					status := w.parser.Head.Status
					w.hangUp()
					return status, body, nil
				}
				return 0, nil, err
			}
		}
	}
}
