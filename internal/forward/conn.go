package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

const (
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is
	// read. An upstream may answer before it has read a longer one.
	inlineBody = 4 << 10
	// maxStray bounds the answers to other requests that are passed over.
	maxStray = 4
	// maxStrayBody bounds the body of such an answer.
	maxStrayBody = 1 << 20
)

// errStray means that a connection gave only answers to other requests.
var errStray = errors.New("only answers to other requests")

// errUnmarked means that a success does not bear the mark of an upstream.
var errUnmarked = errors.New("success without an upstream's mark")

// conn is a connection to an upstream. One request at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// unsent says that a request was not written whole, or not yet.
	unsent   atomic.Bool
	lastUsed time.Time
	// idleLimit is how long the upstream keeps the connection when idle.
	idleLimit time.Duration
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), idleLimit: defaultIdleLimit}
}

// abort closes the connection at once. Failures do not matter: nothing else is
// read from it.
func (c *conn) abort() { _ = c.Close() }

// send writes a request. A failure shows when the answer is read, which may
// have come all the same.
func (c *conn) send(req *Request) {
	head := make([]byte, 0, 1<<10+min(len(req.Body), inlineBody))
	head = appendHead(head, req)
	if len(req.Body) <= inlineBody {
		head = append(head, req.Body...)
		_, err := c.Write(head)
		c.unsent.Store(err != nil)
		return
	}
	c.unsent.Store(true)
	go func() {
		parts := net.Buffers{head, req.Body}
		_, err := parts.WriteTo(c.Conn)
		c.unsent.Store(err != nil)
	}()
}

// appendHead appends the request line and the headers.
func appendHead(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive returns the answer to req. Answers to other requests are passed over:
// an upstream may send one twice or late.
func (c *conn) receive(req *Request, dialect fleet.Dialect) (*http.Response, fleet.AnswerInfo, error) {
	for range maxStray {
		resp, err := c.readResponse(req.Method)
		if err != nil {
			return nil, fleet.AnswerInfo{}, err
		}
		info := dialect.ParseAnswer(resp.StatusCode, resp.Header)
		if info.ID == req.ID || info.ID == "" {
			if isSuccess(resp.StatusCode) && (!info.Sealed || info.ID == "") {
				return nil, info, errUnmarked
			}
			return resp, info, nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxStrayBody); !errors.Is(err, io.EOF) {
			return nil, info, errStray
		}
		if resp.Close {
			return nil, info, errStray
		}
	}
	return nil, fleet.AnswerInfo{}, errStray
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// readResponse reads the head of a final answer.
func (c *conn) readResponse(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
}

// clean reports whether the request was written whole and no byte came after
// its answer.
func (c *conn) clean() bool {
	return !c.unsent.Load() && c.reader.Buffered() == 0
}

// quiet reports whether the connection is open and nothing waits on it.
func (c *conn) quiet() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
