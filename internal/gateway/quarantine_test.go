package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/fleet"
)

// crashing is a group of upstreams of the service "plain" that end when they run a
// request with the part "dead".
type crashing struct {
	*system
	mu      sync.Mutex
	servers map[string]*httptest.Server
	crashed int
}

func startCrashing(t *testing.T, upstreams int) *crashing {
	c := &crashing{system: start(t), servers: make(map[string]*httptest.Server)}
	c.routes(1)
	for i := range upstreams {
		name := fmt.Sprintf("u%d", i)
		server := c.upstream(name, "plain", func(w http.ResponseWriter, r *http.Request) {
			if slices.Contains(strings.Split(r.Header.Get("Parts"), ","), "dead") {
				c.crash(name)
				closeConnection(w)
			}
		})
		c.mu.Lock()
		c.servers[name] = server
		c.mu.Unlock()
	}
	c.await("/any/0", http.StatusOK)
	return c
}

// crash ends an upstream: connections to it are refused.
func (c *crashing) crash(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashed++
	_ = c.servers[name].Listener.Close()
}

func (c *crashing) crashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashed
}

func (c *crashing) send(path, parts string) response {
	return c.request(context.Background(), path, http.Header{"Parts": {parts}})
}

// Guards against issue 24, BUDGET: requests with one prompt part in common, but
// otherwise unlike each other, that crash one upstream after the other. Sound requests
// with their other parts are served meanwhile and afterwards.
func TestPromptPartThatCrashesUpstreams(t *testing.T) {
	c := startCrashing(t, 10)
	for i := range 12 {
		c.send(fmt.Sprintf("/once/%d", i), fmt.Sprintf("a,b,dead,%x", 1000+i))
		c.g.Eventually(func() int { return c.send(fmt.Sprintf("/any/%d", i), fmt.Sprintf("a,b,%x", 2000+i)).status }).
			WithTimeout(2 * time.Second).Should(Equal(http.StatusOK))
		time.Sleep(400 * time.Millisecond)
	}
	c.g.Expect(c.crashes()).To(BeNumerically("<=", 4))
	refused := c.send("/once/last", "a,b,dead,ffff")
	c.g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
	c.g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
}

// Guards against the quarantine of requests whose connections are lost although no
// upstream has crashed.
func TestLostConnectionsAreNoCrashes(t *testing.T) {
	s := start(t)
	s.routes(1)
	for i := range 4 {
		s.upstream(fmt.Sprintf("u%d", i), "plain", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/any/0" {
				closeConnection(w)
			}
		})
	}
	s.await("/any/0", http.StatusOK)
	for i := range 8 {
		got := s.request(context.Background(), fmt.Sprintf("/once/%d", i), http.Header{"Parts": {"a,b,c"}})
		s.g.Expect(got.status).To(Equal(http.StatusBadGateway), "request %d", i)
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against crashes by requests that upstreams already have when a part of theirs
// is quarantined: one of them waits in an upstream with others in front of it.
func TestQuarantineEndsAttempts(t *testing.T) {
	c := startCrashing(t, 6)
	ended := make(chan struct{})
	c.upstream("slow", "patient", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	answered := make(chan int, 1)
	go func() {
		var got response
		for range 100 {
			if got = c.send("/patient/1", "a,b,dead,1"); got.status != http.StatusServiceUnavailable {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		answered <- got.status
	}()
	for i := range 8 {
		c.send(fmt.Sprintf("/once/%d", i), fmt.Sprintf("a,b,dead,%x", 1000+i))
		time.Sleep(400 * time.Millisecond)
	}
	c.g.Eventually(ended).WithTimeout(3 * time.Second).Should(BeClosed())
	c.g.Eventually(answered).WithTimeout(time.Second).Should(Receive(Equal(http.StatusBadGateway)))
}

// parts decodes the parts of a prompt, hexadecimal numbers.
func parts(text string) (list []fleet.PromptPart) {
	for id := range strings.SplitSeq(text, ",") {
		if n, err := strconv.ParseUint(id, 16, 64); err == nil {
			list = append(list, fleet.PromptPart{ID: n, Tokens: 10})
		}
	}
	return list
}
