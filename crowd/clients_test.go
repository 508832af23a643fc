package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"lovagestand.example/lovagestand/job"
)

const (
	// bodyBytes is the largest body that the configuration of a cell allows.
	bodyBytes = 256 << 10
	// headerDeadline is the deadline that the header of a crowd's request sets.
	headerDeadline = 3 * time.Second
	// reconnectDelay is the pause before a client whose connection was closed opens
	// another one.
	reconnectDelay = 300 * time.Millisecond
	// connections is how often a client opens a connection at most.
	connections = 12
)

// client sends one request on a connection, or a part of one, and returns. It may pause.
type client func(ctx context.Context, conn net.Conn, id string) error

// header returns the header of a request with further lines.
func header(method, path string, lines ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Deadline-Ms: %d\r\n", method, path, headerDeadline.Milliseconds())
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

// callerPath is the path of the route of a cell.
const callerPath = "/x/"

// post returns the header of a submission to a path, to which an ID is appended.
func post(path, id string, lines ...string) string { return header("POST", path+id, lines...) }

// length returns the header line for a body of a size.
func length(size int) string { return fmt.Sprint("Content-Length: ", size) }

func write(conn net.Conn, parts ...string) error {
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stopsShort sends a request of a size to a path, without its last byte.
func stopsShort(path string, size int) client {
	body := strings.Repeat(" ", size-1)
	return func(_ context.Context, conn net.Conn, id string) error {
		return write(conn, post(path, id, length(size)), body)
	}
}

// stopsShortInPieces sends the same in pieces over a time.
func stopsShortInPieces(pieces int, over time.Duration) client {
	piece := strings.Repeat(" ", bodyBytes/pieces)
	return func(ctx context.Context, conn net.Conn, id string) error {
		if err := write(conn, post(callerPath, id, length(bodyBytes))); err != nil {
			return err
		}
		for range pieces - 1 {
			if err := write(conn, piece); err != nil {
				return err
			}
			sleep(ctx, over/time.Duration(pieces))
		}
		return write(conn, piece[1:])
	}
}

// chunked sends a number of chunks of a size to a path, and does not end the body. The last
// chunk lacks a number of bytes.
func chunked(path string, chunks, size, missing int) client {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat(" ", size))
	body := strings.Repeat(chunk, chunks)
	if missing > 0 {
		body = body[:len(body)-missing-len("\r\n")]
	}
	return func(_ context.Context, conn net.Conn, id string) error {
		return write(conn, post(path, id, "Transfer-Encoding: chunked"), body)
	}
}

// whole sends a whole request and waits for the reply.
func whole(body string) client {
	return func(_ context.Context, conn net.Conn, id string) error {
		return write(conn, post(callerPath, id, length(len(body))), body)
	}
}

// paddedJob returns a small job within white space up to the largest size of a body.
func paddedJob() string {
	const text = `{"spec":"milliCPU=100 millis=200","steps":[{"count":1,"cpu":100}]}`
	return text + strings.Repeat(" ", bodyBytes-len(text))
}

// largeJob returns a job of the largest number of steps whose body has the largest size.
func largeJob() string {
	const step = `{"count":1,"cpu":4000,"image":"%s"},`
	text := `{"spec":"milliCPU=4000 millis=60000","steps":[`
	for range job.MaxSteps - 1 {
		text += fmt.Sprintf(step, strings.Repeat("i", bodyBytes/job.MaxSteps-len(step)))
	}
	const end = `{"count":1,"cpu":4000,"image":"%s"}]}`
	return text + fmt.Sprintf(end, strings.Repeat("i", bodyBytes-len(text)-len(end)+len("%s")))
}

// wideJob returns a job with the largest number of tasks.
func wideJob() string {
	return fmt.Sprintf(`{"spec":"milliCPU=4000 millis=60000","steps":[{"count":%d,"cpu":4000}]}`, job.MaxTasks)
}

// jobOfEmptySteps returns a body of the largest size with many more steps than a job may have.
func jobOfEmptySteps() string {
	const begin, step, end = `{"spec":"t","steps":[`, `{},`, `{}]}`
	return begin + strings.Repeat(step, (bodyBytes-len(begin)-len(end))/len(step)) + end
}

// jobOfLongLists returns a job of the largest size whose second step names the first one again
// and again.
func jobOfLongLists() string {
	const begin, end = `{"spec":"milliCPU=4000 millis=60000","steps":[{"count":1,"cpu":4000},{"count":1,"cpu":4000,"after":[0`, `]}]}`
	return begin + strings.Repeat(",0", (bodyBytes-len(begin)-len(end))/len(",0")) + end
}

// unknownRoute sends the header of a submission to a route that does not exist, and a part
// of its body.
func unknownRoute(_ context.Context, conn net.Conn, id string) error {
	return write(conn, header("POST", "/unknown/"+id, length(bodyBytes)), strings.Repeat(" ", 1<<10))
}

// endlessHeader sends a header of a size that does not end.
func endlessHeader(size int) client {
	text := strings.TrimSuffix(post(callerPath, "0000000000000001"), "\r\n")
	return func(_ context.Context, conn net.Conn, _ string) error {
		return write(conn, text, "X-Fill: ", strings.Repeat("f", size))
	}
}

// queryWithBody asks for a job that does not exist, with a body that does not end.
func queryWithBody(_ context.Context, conn net.Conn, id string) error {
	return write(conn, header("GET", callerPath+id, length(bodyBytes)), strings.Repeat(" ", 1<<10))
}

// repeated sends a number of requests, each about another job, without waiting for replies.
func repeated(n int, method, body string) client {
	return func(_ context.Context, conn net.Conn, id string) error {
		for i := range n {
			own := fmt.Sprintf("%s%03x", id[:len(id)-3], i)
			if err := write(conn, header(method, callerPath+own, length(len(body))), body); err != nil {
				return err
			}
		}
		return nil
	}
}

// longMethods sends a number of requests, each with a method of its own of a size.
func longMethods(n, size int) client {
	fill := strings.Repeat("M", size)
	return func(_ context.Context, conn net.Conn, id string) error {
		for i := range n {
			if err := write(conn, header(fmt.Sprintf("%s%s%d", fill, id, i), callerPath+id)); err != nil {
				return err
			}
		}
		return nil
	}
}

// silent sends nothing.
func silent(context.Context, net.Conn, string) error { return nil }

// gathering is a crowd of clients that keep their connections open, and open new ones for
// those that are closed.
type gathering struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	// sent is done once each client has sent its first request or lost its connection.
	sent sync.WaitGroup
}

// gather lets a number of clients connect to an address.
func gather(address string, n int, send client) *gathering {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gathering{cancel: cancel}
	g.sent.Add(n)
	for i := range n {
		g.clients.Go(func() {
			first := sync.OnceFunc(g.sent.Done)
			defer first()
			for attempt := range connections {
				connect(ctx, address, fmt.Sprintf("%08x%05x000", i+1, attempt), send, first)
				sleep(ctx, reconnectDelay)
			}
		})
	}
	return g
}

// connect opens a connection, sends a request and reads until the connection is closed or
// ctx ends.
func connect(ctx context.Context, address, id string, send client, sent func()) {
	if ctx.Err() != nil {
		return
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var reading sync.WaitGroup
	reading.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	err = send(ctx, conn, id)
	sent()
	if err != nil {
		conn.Close()
	}
	reading.Wait()
}

// disperse closes all connections.
func (g *gathering) disperse() {
	g.cancel()
	g.clients.Wait()
}
