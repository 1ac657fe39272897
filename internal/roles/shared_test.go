package roles

import (
	"context"
	"encoding/pem"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/logclient"
	"github.com/lagoonvalve/lagoonvalve/internal/loopback"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
	"github.com/lagoonvalve/lagoonvalve/internal/telemetry"
	"github.com/lagoonvalve/lagoonvalve/internal/verdict"
)

// settingsTimeout bounds waits on loopback connections; passing runs need
// milliseconds.
const settingsTimeout = 20 * time.Second

// firstStop is the stop timeout of a start that a reload must replace, longer
// than any wait of a passing run.
const firstStop = state.Duration(time.Minute)

// commonSettings are those of a process with free addresses.
func commonSettings(t *testing.T, common settings.Common) settings.Common {
	t.Helper()
	common.Name, common.Host, common.Region, common.DataCentre = "p", "h", "north", "north-a"
	for _, address := range []*string{&common.Listen.Callers, &common.Listen.Operators, &common.Listen.Control} {
		free, err := loopback.FreeAddress(t.Context())
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		*address = free
	}
	common.Shutdown.DrainTimeout, common.Shutdown.StopTimeout = 0, firstStop
	return common
}

// platformServer tells which paths were asked for.
func platformServer(t *testing.T, start func(http.Handler) *httptest.Server) (*httptest.Server, chan string) {
	t.Helper()
	paths := make(chan string, 100)
	server := start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case paths <- r.URL.Path:
		default:
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)
	return server, paths
}

// runs starts a role of a kind; the function that it returns stops the role.
func runs(t *testing.T, run func(ctx context.Context) error) (stop func() <-chan error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	return func() <-chan error {
		cancel()
		return ended
	}
}

// reloadable makes the process of a role whose settings a test reloads.
func reloadable[S settings.Settings]() (Process[S], chan S, *lockedBuffer) {
	reloads, log := make(chan S), &lockedBuffer{}
	return Process[S]{Logger: slog.New(slog.NewTextHandler(log, nil)), Reloads: reloads}, reloads, log
}

// Guards against a role that ignores listen.*, telemetry.otlp_endpoint or a
// reloaded shutdown.stop_timeout, which then bounds nothing at the stop, and
// against listen addresses that are swapped.
func TestSharedSettingsReachBothRoles(t *testing.T) {
	const reloaded = state.Duration(3 * time.Second)
	starts := map[string]func(t *testing.T, otlp, platform string) (settings.Listen, func(), *lockedBuffer, func() <-chan error){
		"entry": func(t *testing.T, otlp, platform string) (settings.Listen, func(), *lockedBuffer, func() <-chan error) {
			cfg := settings.DefaultEntry()
			cfg.Common = commonSettings(t, cfg.Common)
			cfg.Telemetry.OTLPEndpoint = otlp
			cfg.Platform = settings.Platform{Log: platform, Hosts: platform}
			process, reloads, log := reloadable[settings.Entry]()
			stop := runs(t, func(ctx context.Context) error { return StartEntry(ctx, cfg, process) })
			reload := func() {
				now := cfg
				now.Shutdown.StopTimeout = reloaded
				reloads <- now
			}
			return cfg.Listen, reload, log, stop
		},
		"agent": func(t *testing.T, otlp, platform string) (settings.Listen, func(), *lockedBuffer, func() <-chan error) {
			cfg := settings.DefaultAgent()
			cfg.Common = commonSettings(t, cfg.Common)
			cfg.Telemetry.OTLPEndpoint = otlp
			cfg.Upstream.Kind, cfg.Upstream.URL = state.PlainService, platform
			process, reloads, log := reloadable[settings.Agent]()
			stop := runs(t, func(ctx context.Context) error { return StartAgent(ctx, cfg, process) })
			reload := func() {
				now := cfg
				now.Shutdown.StopTimeout = reloaded
				reloads <- now
			}
			return cfg.Listen, reload, log, stop
		},
	}
	for role, start := range starts {
		t.Run(role, func(t *testing.T) {
			g := NewWithT(t)
			server, _ := platformServer(t, httptest.NewServer)
			pushes, release := make(chan string, 10), make(chan struct{})
			receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				pushes <- r.URL.Path
				<-release
			}))
			t.Cleanup(receiver.Close)
			t.Cleanup(func() { close(release) })
			listen, reload, log, stop := start(t, receiver.URL+"/pushed/here", server.URL)
			for _, address := range []string{listen.Callers, listen.Operators, listen.Control} {
				g.Eventually(func() error {
					conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
					if err == nil {
						_ = conn.Close()
					}
					return err
				}).WithTimeout(settingsTimeout).Should(Succeed(), address)
			}
			answersAs(g, t, listen)
			reload()
			g.Eventually(log.String).WithTimeout(settingsTimeout).Should(ContainSubstring("settings reloaded"))
			stopped := time.Now()
			ended := stop()
			g.Eventually(pushes).WithTimeout(settingsTimeout).Should(Receive(Equal("/pushed/here")))
			// With the timeout of the start the push that hangs holds the
			// process longer than this.
			g.Eventually(ended).WithTimeout(settingsTimeout).Should(Receive(BeNil()))
			// The log and the receiver of the metrics are both away; a whole
			// timeout for each would be twice the setting.
			g.Expect(time.Since(stopped)).To(BeNumerically("<", 2*reloaded.Std()))
		})
	}
}

// Guards against an entry that asks another address than platform.log or
// platform.hosts, against one that takes only http of the two schemes that
// the settings allow, and against one that ignores tls.platform.
func TestEntryAsksItsPlatform(t *testing.T) {
	for scheme, start := range map[string]func(http.Handler) *httptest.Server{
		"http": httptest.NewServer, "https": httptest.NewTLSServer,
	} {
		t.Run(scheme, func(t *testing.T) {
			g := NewWithT(t)
			log, logPaths := platformServer(t, start)
			hosts, hostPaths := platformServer(t, start)
			cfg := settings.DefaultEntry()
			cfg.Common = commonSettings(t, cfg.Common)
			cfg.TLS.Platform.CAFile = authorityFile(t, log)
			cfg.Shutdown.StopTimeout = state.Duration(100 * time.Millisecond)
			cfg.Platform = settings.Platform{Log: log.URL, Hosts: hosts.URL}
			g.Expect(log.URL).To(HavePrefix(scheme + "://"))
			stop := runs(t, func(ctx context.Context) error { return RunEntry(ctx, cfg, slog.New(slog.DiscardHandler)) })
			g.Eventually(logPaths).WithTimeout(settingsTimeout).Should(Receive(HavePrefix("/v1/log/")))
			g.Eventually(hostPaths).WithTimeout(settingsTimeout).Should(Receive(Equal("/v1/hosts")))
			g.Eventually(stop()).WithTimeout(settingsTimeout).Should(Receive(BeNil()))
			for len(logPaths) > 0 {
				g.Expect(<-logPaths).To(HavePrefix("/v1/log/"))
			}
		})
	}
}

// authorityFile is a file with the certificate of a server with TLS, if it has
// one.
func authorityFile(t *testing.T, server *httptest.Server) string {
	t.Helper()
	if server.Certificate() == nil {
		return ""
	}
	path := filepath.Join(t.TempDir(), "ca.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	NewWithT(t).Expect(os.WriteFile(path, pem.EncodeToMemory(block), 0o600)).To(Succeed())
	return path
}

// Guards against an agent that ignores tls.platform for the control side of its
// engine or for the push of metrics, and against one that starts without the
// authorities.
func TestAgentTrustsItsUpstream(t *testing.T) {
	g := NewWithT(t)
	upstream, paths := platformServer(t, httptest.NewTLSServer)
	for _, trusted := range []bool{true, false} {
		cfg := settings.DefaultAgent()
		cfg.Common = commonSettings(t, cfg.Common)
		cfg.Shutdown.StopTimeout = state.Duration(time.Second)
		cfg.Upstream.URL, cfg.Upstream.Memory = upstream.URL, state.GiB
		cfg.Telemetry.OTLPEndpoint = upstream.URL + "/push"
		if trusted {
			cfg.TLS.Platform.CAFile = authorityFile(t, upstream)
		}
		shared, err := openShared(t.Context(), cfg.Common, slog.New(slog.DiscardHandler))
		g.Expect(err).NotTo(HaveOccurred())
		a, _, _, err := newAgent(cfg, logclient.NewWriter(nil, logclient.WriterConfig{}), newDirectory(shared.client, nil), shared)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = platform.NewHTTPEngine(cfg.Upstream.URL, shared.http, 0).Status(t.Context())
		g.Expect(err).To(HaveOccurred(), "the stand-in refuses")
		g.Expect(a.Ready()).NotTo(Succeed())
		shared.meter.ConfigLag(time.Second)
		shared.close()
		var asked []string
		for len(paths) > 0 {
			asked = append(asked, <-paths)
		}
		if trusted {
			g.Expect(asked).To(ContainElements(platform.PathEngineStatus, "/push"))
		} else {
			g.Expect(asked).To(BeEmpty())
		}
	}
	cfg := settings.DefaultAgent()
	cfg.TLS.Platform.CAFile = filepath.Join(t.TempDir(), "absent.pem")
	g.Expect(RunAgent(t.Context(), cfg, slog.New(slog.DiscardHandler))).To(MatchError(ContainSubstring("authorities")))
}

// answersAs checks that each address of a role does the job that the settings
// give it.
func answersAs(g Gomega, t *testing.T, listen settings.Listen) {
	ask := func(method, address, path string) *http.Response {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader("{}"))
		g.Expect(err).NotTo(HaveOccurred())
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Body.Close()).To(Succeed())
		return resp
	}
	g.Expect(ask(http.MethodPost, listen.Callers, "/v1/completions").Header.Get(verdict.HeaderVerdict)).To(Equal("not-run"))
	g.Expect(ask(http.MethodGet, listen.Callers, "/metrics").StatusCode).NotTo(Equal(http.StatusOK))
	g.Expect(ask(http.MethodGet, listen.Operators, "/metrics").StatusCode).To(Equal(http.StatusOK))
	client := rpc.NewClient()
	defer client.Close()
	g.Expect(client.Call(t.Context(), listen.Control, "no.such", struct{}{}, nil)).To(MatchError(ContainSubstring("unknown method")))
}

// Guards against pushes at another interval than telemetry.otlp_interval.
func TestPushFollowsItsInterval(t *testing.T) {
	var pushes atomic.Int64
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// A connection that is kept would hold the virtual time.
		w.Header().Set("Connection", "close")
		pushes.Add(1)
	}))
	t.Cleanup(receiver.Close)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		common := settings.DefaultEntry().Common
		common.Telemetry.OTLPEndpoint = receiver.URL + "/v1/metrics"
		common.Telemetry.OTLPInterval = state.Duration(10 * time.Minute)
		meter, err := telemetry.Start(t.Context(), common)
		g.Expect(err).NotTo(HaveOccurred())
		meter.ConfigLag(time.Second)
		time.Sleep(10*time.Minute - time.Second)
		g.Expect(pushes.Load()).To(BeZero())
		time.Sleep(2 * time.Second)
		g.Expect(pushes.Load()).To(BeEquivalentTo(1))
		time.Sleep(20 * time.Minute)
		g.Expect(pushes.Load()).To(BeEquivalentTo(3))
		g.Expect(meter.Shutdown(t.Context())).To(Succeed())
	})
}
