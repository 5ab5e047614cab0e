//go:build overload

package overloadtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// The size of a crowd follows from the limits of the process: it sends twice the memory, or opens a quarter more connections
// than there are descriptors.
const (
	crowdBytes       = 2 * memoryLimit
	crowdConnections = descriptorLimit * 5 / 4
	crowdRounds      = 2 // a client whose connection is closed comes back once
	crowdDialers     = 64
	dialTimeout      = 5 * time.Second
	sendTimeout      = 10 * time.Second // for one client's request; a process that refuses or does not read ends it earlier or then
)

// target is where and how a crowd sends its requests.
type target struct {
	address string // host:port
	host    string // value of the Host header
	request string // method and path
	body    int    // bytes of the largest body that the port takes
}

// head returns the head of a request up to the fields that describe its body.
func (g target) head() string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", g.request, g.host)
}

// behavior is a way to misbehave at a port.
type behavior struct {
	name    string
	clients func(target) int                          // size of the crowd
	reads   bool                                      // whether the clients read their answers
	send    func(connection net.Conn, g target) error // what each client sends before it waits for the end of the test
}

// bySize is the number of clients whose bodies add up to crowdBytes, at most crowdConnections.
func bySize(g target) int { return min(crowdBytes/g.body, crowdConnections) }

func byDescriptors(target) int { return crowdConnections }

// bodyBehaviors send bodies of the largest legal size. All but the last behavior stop just short of the end.
var bodyBehaviors = []behavior{
	{"whole", bySize, true, sendWhole},
	{"pieces", bySize, true, sendPieces},
	{"large chunks", bySize, true, func(c net.Conn, g target) error { return sendChunks(c, g, largeChunk) }},
	{"small chunks", bySize, true, func(c net.Conn, g target) error { return sendChunks(c, g, smallChunk) }},
	{"complete", bySize, true, sendComplete},
}

// headBehaviors send no complete head, or none at all, on more connections than there are descriptors.
var headBehaviors = []behavior{
	{"half heads", byDescriptors, true, sendHalfHead},
	{"silent connections", byDescriptors, true, func(net.Conn, target) error { return nil }},
	{"requests without reading", byDescriptors, false, sendPipelined},
}

const (
	pieceSize     = 16 << 10
	largeChunk    = 64 << 10
	minChunks     = 4 // chunks of a body, all but one of which are sent
	smallChunk    = 32
	halfHeadBytes = 12 << 10
	pipelined     = 2000 // requests that one client sends without reading an answer
)

// padding is the content of all bodies: white space, which a JSON parser skips.
var padding = bytes.Repeat([]byte(" "), 32<<20)

func sendWhole(c net.Conn, g target) error {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", g.head(), g.body); err != nil {
		return err
	}
	_, err := c.Write(padding[:g.body-1])
	return err
}

func sendPieces(c net.Conn, g target) error {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", g.head(), g.body); err != nil {
		return err
	}
	for rest := g.body - 1; rest > 0; rest -= pieceSize {
		if _, err := c.Write(padding[:min(rest, pieceSize)]); err != nil {
			return err
		}
	}
	return nil
}

func sendComplete(c net.Conn, g target) error {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", g.head(), g.body); err != nil {
		return err
	}
	_, err := c.Write(padding[:g.body])
	return err
}

func sendChunks(c net.Conn, g target, size int) error {
	if _, err := io.WriteString(c, g.head()+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	size = min(size, g.body/minChunks)
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, padding[:size])
	perWrite := max(1, largeChunk/len(chunk))
	batch := bytes.Repeat(chunk, perWrite)
	for rest := g.body/size - 1; rest > 0; rest -= perWrite {
		if _, err := c.Write(batch[:min(rest, perWrite)*len(chunk)]); err != nil {
			return err
		}
	}
	return nil
}

func sendHalfHead(c net.Conn, g target) error {
	_, err := io.WriteString(c, g.head()+"X-Padding: "+strings.Repeat("x", halfHeadBytes))
	return err
}

// sendPipelined sends requests for as long as the process reads them and never reads an answer.
func sendPipelined(c net.Conn, g target) error {
	method, path, _ := strings.Cut(g.request, " ")
	if method != "GET" {
		path = "/nothing"
	}
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, g.host)
	_, err := io.WriteString(c, strings.Repeat(request, pipelined))
	return err
}

// crowd is a number of clients that misbehave in one way until the end of the test.
type crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	sent    sync.WaitGroup // clients that have not yet sent their first request
}

// startCrowd connects a crowd and returns once each client has sent what it sends, or could not.
func startCrowd(t *testing.T, b behavior, g target) *crowd {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c := &crowd{cancel: cancel}
	dialing := make(chan struct{}, crowdDialers)
	for range b.clients(g) {
		c.sent.Add(1)
		c.clients.Go(func() {
			for round := range crowdRounds {
				dialing <- struct{}{}
				connection := connect(ctx, b, g)
				<-dialing
				if round == 0 {
					c.sent.Done()
				}
				waitForEnd(ctx, connection, b.reads)
			}
		})
	}
	t.Cleanup(c.stop)
	c.sent.Wait()
	return c
}

// connect opens a connection and sends the request. It returns nil if the connection was refused.
func connect(ctx context.Context, b behavior, g target) net.Conn {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", g.address)
	if err != nil {
		return nil
	}
	_ = connection.SetWriteDeadline(time.Now().Add(sendTimeout))
	_ = b.send(connection, g) // the process may refuse the request or close the connection
	return connection
}

// waitForEnd keeps a connection open until the process closes it or ctx is cancelled. Only a client that reads its answers
// notices that the process has closed it.
func waitForEnd(ctx context.Context, connection net.Conn, reads bool) {
	if connection == nil {
		return
	}
	defer func() { _ = connection.Close() }() // nothing is written any more
	if !reads {
		<-ctx.Done()
		return
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	_, _ = io.Copy(io.Discard, connection) // any error means that the connection is closed
}

// stop closes all connections of the crowd.
func (c *crowd) stop() {
	c.cancel()
	c.clients.Wait()
}
