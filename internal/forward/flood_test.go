package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/forward"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// floodTimeout is the time within which a flood must end in a verdict: callers wait
// for seconds, and the request may still be served elsewhere.
const floodTimeout = 4 * time.Second

// maxFloodHeap is the heap that one connection may use while it is flooded, in bytes.
// Hosts have some 180 MB for thousands of connections.
const maxFloodHeap = 1 << 20

// flood writes start once and then repeat until the client closes the connection.
func flood(start, repeat string, pause time.Duration) script {
	return func(conn net.Conn, _ *http.Request) {
		if _, err := io.WriteString(conn, start); err != nil {
			return
		}
		for {
			if _, err := io.WriteString(conn, repeat); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}

var headFloods = map[string]script{
	"status line without end":       flood("HTTP/1.1 200 ", strings.Repeat("x", 4<<10), 0),
	"bytes that are no answer":      flood("", strings.Repeat("\x00\x01", 2<<10), 0),
	"header line without end":       flood("HTTP/1.1 200 OK\r\nId: ", strings.Repeat("x", 4<<10), 0),
	"headers without end":           flood("HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 700), 0),
	"informational without end":     flood("", "HTTP/1.1 103 Early Hints\r\n\r\n", 0),
	"header line that drips":        flood("HTTP/1.1 200 OK\r\nId: ", "x", 10*time.Millisecond),
	"informational that drips":      flood("", "HTTP/1.1 103 Early Hints\r\n\r\n", 50*time.Millisecond),
	"stray body without end":        flood("HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", 0),
	"stray body that drips":         flood("HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nContent-Length: 100000\r\n\r\n", "x", 10*time.Millisecond),
	"stray responses without end":   flood("", "HTTP/1.1 200 OK\r\nId: other\r\nMark: m\r\nContent-Length: 0\r\n\r\n", 0),
	"empty lines before the answer": flood("", "\r\n", 0),
}

// Guards against an upstream that sends bytes without end before the body of a
// response: they filled the gateway's memory or kept a processor busy until the
// deadline of the request.
func TestFloodsOfTheHeadEndSoon(t *testing.T) {
	for name, bytes := range headFloods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			u := serve(t, bytes)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			began := time.Now()
			resp, err := forward.NewClient(dialect{}).Send(ctx, u.Upstream, request("1"))
			if err == nil {
				resp.Close()
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(verdict.Of(err).Execution).To(Equal(verdict.MayHaveRun))
			g.Expect(time.Since(began)).To(BeNumerically("<", floodTimeout))
			g.Eventually(u.closed).Within(time.Second).Should(Receive())
		})
	}
}

// Guards against floods that together use more memory than the host has, when all
// upstreams of a service send them at the same time.
func TestManyFloodsUseBoundedMemory(t *testing.T) {
	g := NewWithT(t)
	const conns = 32
	client := forward.NewClient(dialect{})
	before := heapInUse()
	highest := uint64(0)
	stop := make(chan struct{})
	var sampler, requests sync.WaitGroup
	sampler.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				highest = max(highest, heapInUse())
			}
		}
	})
	for range conns {
		u := serve(t, flood("HTTP/1.1 200 OK\r\n", strings.Repeat("Header: value\r\n", 700), 0))
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), floodTimeout)
			defer cancel()
			resp, err := client.Send(ctx, u.Upstream, request("1"))
			if err == nil {
				resp.Close()
			}
		})
	}
	requests.Wait()
	close(stop)
	sampler.Wait()
	g.Expect(int64(highest) - int64(before)).To(BeNumerically("<", conns*maxFloodHeap))
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

// Guards against a time limit for heads that also applies to the response of a slow
// request: the time counts from the first byte.
func TestSlowAnswerIsNoFlood(t *testing.T) {
	g := NewWithT(t)
	u := serve(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		time.Sleep(floodTimeout)
		_, _ = io.WriteString(conn, response("1", "late"))
	})
	resp, err := forward.NewClient(dialect{}).Send(t.Context(), u.Upstream, request("1"))
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Close()
	body, err := read(t, resp)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("late"))
}

// FuzzResponse feeds arbitrary bytes as a response. Guards against bytes that are
// taken for the response to a request although they don't carry its id.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: 1\r\nMark: m\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nId: 2\r\nMark: m\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\n\r\n")
	f.Add("\r\n\r\nHTTP/1.1 200 OK\r\n")
	f.Fuzz(func(t *testing.T, bytes string) {
		u := serve(t, func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, bytes)
			_ = conn.Close()
		})
		resp, err := forward.NewClient(dialect{}).Send(t.Context(), u.Upstream, request("1"))
		if err != nil {
			return
		}
		defer resp.Close()
		if resp.Status < 300 && resp.Header.Get("Id") != "1" {
			t.Fatalf("response of another request: %q", bytes)
		}
		_, _ = io.Copy(io.Discard, resp)
	})
}
