package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

var (
	_ platform.Log      = (*platform.HTTPLog)(nil)
	_ platform.HostList = (*platform.HTTPHostList)(nil)
	_ platform.Engine   = (*platform.HTTPEngine)(nil)
)

const confidentialBody = "body-of-the-service"

func records(ids ...string) []state.Record {
	list := make([]state.Record, 0, len(ids))
	for _, id := range ids {
		list = append(list, state.Record{ID: id, Kind: state.KindAudit, Body: []byte(`{}`)})
	}
	return list
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a status or a broken connection being mapped to the wrong error,
// and against response bodies, which may be confidential, in error texts.
func TestAppendErrors(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, confidentialBody, code) }
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"unavailable":       {status(http.StatusServiceUnavailable), platform.ErrUnavailable},
		"too many requests": {status(http.StatusTooManyRequests), platform.ErrUnavailable},
		"bad request":       {status(http.StatusBadRequest), platform.ErrRejected},
		"internal error":    {status(http.StatusInternalServerError), platform.ErrUnknownOutcome},
		"gateway timeout":   {status(http.StatusGatewayTimeout), platform.ErrUnknownOutcome},
		"not JSON":          {status(http.StatusOK), platform.ErrUnknownOutcome},
		"connection ended":  {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, platform.ErrUnknownOutcome},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			log := platform.NewHTTPLog(serve(t, tc.handler), platform.HTTPOptions{})
			_, err := log.Append(t.Context(), "s", records("a"))
			g.Expect(errors.Is(err, tc.want)).To(BeTrue(), "%v", err)
			g.Expect(err.Error()).NotTo(ContainSubstring(confidentialBody))
			_, err = log.Read(t.Context(), "s", 0, 1, 0)
			g.Expect(errors.Is(err, platform.ErrUnknownOutcome)).To(BeFalse(), "a read has no effect, so its outcome is never unknown: %v", err)
		})
	}
}

// Guards against an append that was never sent being reported as an unknown
// outcome, and against an append that was sent being reported as not stored.
func TestAppendBeforeAndAfterConnecting(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	_, err = platform.NewHTTPLog("http://"+addr, platform.HTTPOptions{}).Append(t.Context(), "s", records("a"))
	g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue(), "%v", err)

	ctx, cancel := context.WithCancel(t.Context())
	url := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server detects that the client has disconnected only after it has
		// read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	_, err = platform.NewHTTPLog(url, platform.HTTPOptions{}).Append(ctx, "s", records("a"))
	g.Expect(errors.Is(err, platform.ErrUnknownOutcome)).To(BeTrue(), "%v", err)

	_, err = platform.NewHTTPLog(url, platform.HTTPOptions{}).Append(ctx, "s", records("a"))
	g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue(), "context cancelled before the call: %v", err)
}

// Guards against the client and the stand-in disagreeing about offsets, truncation
// or lost responses.
func TestHTTPLogAgainstStandIn(t *testing.T) {
	g := NewWithT(t)
	logService := standin.NewLog(standin.LogConfig{})
	log := platform.NewHTTPLog(serve(t, logService), platform.HTTPOptions{})
	first, err := log.Append(t.Context(), "region/a b", records("a", "b", "c"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(Equal(state.Offset(0)))
	logService.SetFaults(standin.LogFaults{LoseNext: 1})
	_, err = log.Append(t.Context(), "region/a b", records("d"))
	g.Expect(errors.Is(err, platform.ErrUnknownOutcome)).To(BeTrue(), "%v", err)
	page, err := log.Read(t.Context(), "region/a b", 1, 2, time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(page.Records).To(HaveLen(2))
	g.Expect(page.Records[0].ID).To(Equal("b"))
	g.Expect([]state.Offset{page.From, page.Next, page.End}).To(Equal([]state.Offset{1, 3, 4}))
	logService.Truncate("region/a b", 2)
	page, err = log.Read(t.Context(), "region/a b", 0, 2, 0)
	g.Expect(errors.Is(err, platform.ErrTruncated)).To(BeTrue(), "%v", err)
	g.Expect(page.Oldest).To(Equal(state.Offset(2)))
}

// Guards against the client and the stand-in disagreeing about orders and hosts.
func TestHTTPEngineAndHostsAgainstStandIn(t *testing.T) {
	g := NewWithT(t)
	engine := standin.NewEngine(standin.EngineConfig{Name: "e", Memory: state.GiB}, standin.NewStore(standin.StoreConfig{}))
	client := platform.NewHTTPEngine(serve(t, engine), platform.HTTPOptions{}, 0)
	load := platform.Order{Kind: platform.OrderLoad, ReplicaKey: state.ReplicaKey{Model: "m", Version: "v"}, Size: state.GiB, Token: 7}
	g.Expect(client.Do(t.Context(), load)).To(Succeed())
	status, err := client.Status(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.Replicas).To(HaveLen(1))
	load.Model = "other"
	g.Expect(errors.Is(client.Do(t.Context(), load), platform.ErrNoMemory)).To(BeTrue())
	load.Token = 6
	g.Expect(errors.Is(client.Do(t.Context(), load), platform.ErrStaleToken)).To(BeTrue())
	engine.SetFaults(standin.EngineFaults{LoseOrders: 1})
	unload := platform.Order{Kind: platform.OrderUnload, ReplicaKey: status.Replicas[0].ReplicaKey, Token: 7}
	g.Expect(errors.Is(client.Do(t.Context(), unload), platform.ErrUnknownOutcome)).To(BeTrue())

	hosts := standin.NewHosts(0, platform.HostInfo{Name: "h", State: platform.HostLive})
	list, err := platform.NewHTTPHostList(serve(t, hosts), platform.HTTPOptions{}).Hosts(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(Equal([]platform.HostInfo{{Name: "h", State: platform.HostLive}}))
}
