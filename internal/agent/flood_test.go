package agent_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/testenv"
)

// flood writes bytes without end until the agent closes the connection. It sends the number
// of bytes that the agent has read to read.
func flood(read chan<- int, begin, repeat string) http.HandlerFunc {
	return func(out http.ResponseWriter, _ *http.Request) { read <- testenv.Flood(out, begin, repeat) }
}

// maxHeadRead bounds what is read of a head without end, in bytes: the limit of heads and one
// buffer of the reader.
const maxHeadRead = 64<<10 + 16<<10

// Guards against issue 34, first report, at the agent: bytes without end in a head, which the
// agent kept until it ran out of memory. The verdict comes at once, and the connection ends.
func TestEndlessHeadsEndSoon(t *testing.T) {
	for name, bytes := range map[string]struct{ begin, repeat string }{
		"bytes that are no answer":    {"", strings.Repeat("\x00\x01", 2<<10)},
		"status line":                 {"HTTP/1.1 200 ", strings.Repeat("x", 4<<10)},
		"header line":                 {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 4<<10)},
		"headers":                     {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 700)},
		"informational responses":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"headers of informational":    {"HTTP/1.1 103 Early Hints\r\n", strings.Repeat("A: b\r\n", 700)},
		"chunk extension":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("x", 4<<10)},
		"trailers":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 700)},
		"trailers of an event stream": {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 700)},
	} {
		inBubble(t, func(w *world) {
			w.awake()
			read := make(chan int, 1)
			w.engine.handle(flood(read, bytes.begin, bytes.repeat))
			began := time.Now()
			got := w.request(anyone)
			took := time.Since(began)
			w.Expect(<-read).To(BeNumerically("<=", maxHeadRead), name)
			w.Expect(took).To(BeNumerically("<", time.Second), name)
			if got.err == nil && got.status == http.StatusOK {
				w.Expect(got.trailer.Get("Lagoon-Verdict")).To(Equal("may-have-run"), name)
			}
		})
	}
}

// maxFloodHeap bounds the heap that one request may use while its response has no end, in bytes.
const maxFloodHeap = 1 << 20

// Guards against issue 34, first report, at the agent: bytes without end in a body that the
// agent keeps. It passes them on as fast as the entry reads them, and ends with the entry.
func TestEndlessBodiesAreNotKept(t *testing.T) {
	chunk := strings.Repeat("x", 32<<10)
	for name, head := range map[string]string{
		"body":                  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"body that is too long": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1000000000000\r\n\r\n",
		"event":                 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
		"body of a failure":     "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n",
		"body of a refusal":     "HTTP/1.1 404 Not Found\r\nContent-Type: application/json\r\n\r\n",
	} {
		inBubble(t, func(w *world) {
			w.awake()
			read := make(chan int, 1)
			w.engine.handle(flood(read, head, chunk))
			ctx, leave := context.WithCancel(anyone)
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+trafficAddr+"/v1/completions", strings.NewReader(w.body))
			req.Header.Set("Lagoon-Model", "a")
			req.Header.Set("Lagoon-Version", "v1")
			resp, err := w.client.Do(req)
			w.Expect(err).NotTo(HaveOccurred(), name)
			defer func() { _ = resp.Body.Close() }()
			before := testenv.LiveHeap()
			_, err = io.CopyN(io.Discard, resp.Body, 64<<20)
			w.Expect(err).NotTo(HaveOccurred(), name)
			w.Expect(int64(testenv.LiveHeap())-int64(before)).To(BeNumerically("<", maxFloodHeap), name)
			leave()
			synctest.Wait()
			w.Expect(read).To(Receive(), name)
		})
	}
}
