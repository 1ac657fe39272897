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
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

const (
	readBufferSize = 4 << 10
	// maxInlineBody is the largest body that is written before the response is
	// read. An upstream may respond before it has read a larger one.
	maxInlineBody = 4 << 10

	headerContentLength = "Content-Length"
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	*limitedConn
	reader *bufio.Reader
	// requests is how many requests were sent on the connection.
	requests int
	// writeIncomplete means that writing a request has failed or not finished.
	writeIncomplete atomic.Bool
	lastUsed        time.Time
	// idleTimeout is the longest idle time after which the connection is still reused.
	idleTimeout time.Duration
}

func newConn(raw net.Conn) *conn {
	limited := &limitedConn{Conn: raw}
	return &conn{limitedConn: limited, reader: bufio.NewReaderSize(limited, readBufferSize), idleTimeout: defaultIdleTimeout}
}

// abort closes the connection at once. An error is irrelevant, as nothing more is
// read from it.
func (c *conn) abort() { _ = c.Close() }

// send writes a request. It returns no error, as the upstream may have responded
// even though the write failed; the failure shows when the response is read.
func (c *conn) send(req *Request) {
	c.requests++
	head := make([]byte, 0, 1<<10+min(len(req.Body), maxInlineBody))
	head = appendHead(head, req)
	if len(req.Body) <= maxInlineBody {
		head = append(head, req.Body...)
		_, err := c.Write(head)
		c.writeIncomplete.Store(err != nil)
		return
	}
	c.writeIncomplete.Store(true)
	go func() {
		parts := net.Buffers{head, req.Body}
		_, err := parts.WriteTo(c.Conn)
		c.writeIncomplete.Store(err != nil)
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
		if name == headerContentLength {
			// The length is that of the body that is sent.
			continue
		}
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b = append(b, headerContentLength+": "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive returns the response to req. Responses to other requests are skipped: an
// upstream may send a response late or twice. One without an id can belong to an earlier
// request, so it is accepted only if there was none on the connection.
func (c *conn) receive(req *Request, dialect fleet.Dialect) (*http.Response, fleet.AnswerInfo, error) {
	for range maxStray {
		resp, err := c.readResponse(req.Method)
		if err != nil {
			return nil, fleet.AnswerInfo{}, err
		}
		info := dialect.ParseAnswer(resp.StatusCode, resp.Header)
		if info.ID == req.ID || info.ID == "" {
			if info.ID == "" && c.requests > 1 {
				return nil, info, errUnmatched
			}
			if isSuccess(resp.StatusCode) && (!info.Sealed || info.ID == "") {
				return nil, info, errUnsealed
			}
			return resp, info, nil
		}
		if !c.skipBody(resp) || resp.Close {
			return nil, info, errStray
		}
	}
	return nil, fleet.AnswerInfo{}, errStray
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// skipBody reads the body of a response to another request. It reports whether the
// body has ended within its limits.
func (c *conn) skipBody(resp *http.Response) bool {
	c.limitTime(strayTimeout)
	defer c.limitTime(0)
	_, err := io.CopyN(io.Discard, resp.Body, int64(maxStrayBody))
	return errors.Is(err, io.EOF)
}

// readResponse reads the head of a response, skipping informational (1xx) ones.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.startHead()
	defer c.endHead()
	for range maxInformational {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case verdict.IsFinalStatus(resp.StatusCode):
			return resp, nil
		case resp.StatusCode < http.StatusContinue || resp.StatusCode >= http.StatusOK:
			return nil, errStatus
		}
		c.expectHead()
	}
	return nil, errInformational
}

// clean reports whether the request was written completely and no bytes are
// buffered after its response.
func (c *conn) clean() bool {
	return !c.writeIncomplete.Load() && c.reader.Buffered() == 0
}

// idleAndOpen reports whether the connection is open and has no unread bytes in the
// socket.
func (c *conn) idleAndOpen() bool {
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
