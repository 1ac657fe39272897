package roles_test

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/loopback"
	"github.com/lagoonvalve/lagoonvalve/internal/platform"
	"github.com/lagoonvalve/lagoonvalve/internal/roles"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
	"github.com/lagoonvalve/lagoonvalve/internal/standin"
	"github.com/lagoonvalve/lagoonvalve/internal/state"
)

// system is an entry and an agent on loopback, with TLS on all connections.
type system struct {
	Gomega
	t      *testing.T
	client *http.Client
	log    *standin.Log
	logURL string
	hosts  string
	entry  settings.Entry
	agent  settings.Agent
}

func writeCertificate(t *testing.T) (settings.Certificate, *x509.CertPool) {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	secret, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	directory := t.TempDir()
	put := func(name, kind string, data []byte) string {
		path := filepath.Join(directory, name)
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)).To(Succeed())
		return path
	}
	pool := x509.NewCertPool()
	parsed, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	pool.AddCert(parsed)
	cert := put("cert.pem", "CERTIFICATE", der)
	return settings.Certificate{CertFile: cert, KeyFile: put("key.pem", "EC PRIVATE KEY", secret), CAFile: cert}, pool
}

func (s *system) freeAddress() string {
	address, err := loopback.FreeAddress(s.t.Context())
	s.Expect(err).NotTo(HaveOccurred())
	return address
}

func (s *system) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	s.t.Cleanup(server.CloseClientConnections)
	return server.URL
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{Gomega: NewWithT(t), t: t, log: standin.NewLog(standin.LogConfig{})}
	files, pool := writeCertificate(t)
	s.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}
	s.logURL = s.serve(s.log)
	s.hosts = s.serve(standin.NewHosts(0, platform.HostInfo{Name: "h", DataCentre: "dc", State: platform.HostLive}))
	engine := standin.NewEngine(standin.EngineConfig{Name: "r", Memory: 8 * state.GiB}, standin.NewStore(standin.StoreConfig{}))
	public := files
	public.CAFile = ""
	common := func(c settings.Common, name string) settings.Common {
		c.Name, c.Host, c.Region, c.DataCentre = name, "h", "north", "dc"
		c.Listen = settings.Listen{Callers: s.freeAddress(), Operators: s.freeAddress(), Control: s.freeAddress()}
		c.TLS = settings.TLS{Callers: public, Operators: public, Internal: files}
		c.Shutdown.DrainTimeout = state.Duration(time.Second)
		return c
	}
	s.entry, s.agent = settings.DefaultEntry(), settings.DefaultAgent()
	s.entry.Common = common(s.entry.Common, "entry-1")
	s.entry.Platform = settings.Platform{Log: s.logURL, Hosts: s.hosts}
	s.agent.Common = common(s.agent.Common, "r")
	s.agent.Peers = []settings.Peer{{Name: "entry-1", Region: "north", DataCentre: "dc", Control: s.entry.Listen.Control}}
	s.agent.Upstream = settings.AgentUpstream{
		Kind: state.ModelRunner, URL: s.serve(engine), Memory: 8 * state.GiB, Fencing: state.FencingEnforced, Concurrency: 4,
	}
	s.publish()
	return s
}

// publish writes the configuration: a model with an adapter on one runner.
func (s *system) publish() {
	var records []state.Record
	add := func(kind state.EntityKind, name string, expected state.Revision, value any) {
		body, err := json.Marshal(value)
		s.Expect(err).NotTo(HaveOccurred())
		record, err := state.NewRecord(uuid.NewString(), state.ProcessID{Name: "test"}, state.KindConfigChange, state.ConfigChange{
			Entity: kind, Name: name, Expected: expected, Value: body, Actor: "test",
		})
		s.Expect(err).NotTo(HaveOccurred())
		records = append(records, record)
	}
	model := state.Model{Name: "m", Team: "t", MaxReplicas: 1}
	add(state.EntityTeam, "t", 0, state.Team{Name: "t"})
	add(state.EntityModel, "m", 0, model)
	add(state.EntityVersion, "m/v1", 0, state.ModelVersion{Model: "m", Name: "v1", Weights: state.GiB, KVHeadroom: state.GiB})
	model.Active = "v1"
	add(state.EntityModel, "m", 1, model)
	add(state.EntityAdapter, "a", 0, state.Adapter{Name: "a", Team: "t", Model: "m", Size: state.MiB})
	add(state.EntityUpstream, "r", 0, state.Upstream{
		Name: "r", Kind: state.ModelRunner, Host: "h", DataCentre: "dc", Region: "north", Memory: 8 * state.GiB,
		TrafficAddr: s.agent.Listen.Callers, ControlAddr: s.agent.Listen.Control, Fencing: state.FencingEnforced,
	})
	_, err := s.log.Append(s.t.Context(), platform.StreamConfig, records)
	s.Expect(err).NotTo(HaveOccurred())
}

// start runs a role; the returned function stops it gracefully.
func (s *system) start(run func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		s.Expect(<-ended).To(Succeed())
	})
	s.t.Cleanup(stop)
	return stop
}

func (s *system) startEntry(reloads <-chan settings.Entry) func() {
	logger := slog.New(slog.DiscardHandler)
	stop := s.start(func(ctx context.Context) error {
		return roles.StartEntry(ctx, s.entry, roles.Process[settings.Entry]{Logger: logger, Reloads: reloads})
	})
	s.ready(s.entry.Listen.Operators)
	return stop
}

func (s *system) ready(addr string) {
	s.Eventually(func() int { status, _ := s.get(addr, "/readyz"); return status }).
		WithTimeout(20 * time.Second).Should(Equal(http.StatusNoContent))
}

func (s *system) get(addr, path string) (int, string) {
	return s.do(http.MethodGet, addr, path, "", nil)
}

func (s *system) do(method, addr, path, body string, header map[string]string) (int, string) {
	request, err := http.NewRequestWithContext(s.t.Context(), method, "https://"+addr+path, strings.NewReader(body))
	s.Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

func (s *system) complete(body string, header map[string]string) int {
	status, _ := s.do(http.MethodPost, s.entry.Listen.Callers, "/v1/completions", body, header)
	return status
}

func (s *system) operate(statement string) string {
	body, err := json.Marshal(map[string]string{"statement": statement})
	s.Expect(err).NotTo(HaveOccurred())
	_, text := s.do(http.MethodPost, s.entry.Listen.Operators, "/v1/operate", string(body), nil)
	return text
}

// fed returns the metrics of a page that have a value.
func (s *system) fed(addr string) map[string]bool {
	_, page := s.get(addr, "/metrics")
	names := make(map[string]bool)
	lines := bufio.NewScanner(strings.NewReader(page))
	for lines.Scan() {
		if name, _, _ := strings.Cut(lines.Text(), "{"); !strings.HasPrefix(name, "#") {
			names[strings.TrimSuffix(strings.Fields(name + " ")[0], "_count")] = true
		}
	}
	return names
}

// Guards against metrics that a run does not feed, plain text where a
// certificate is set, reloads without effect, and decisions or counts that the
// audit trail loses with the process that wrote them.
func TestSystemOverTLS(t *testing.T) {
	s := newSystem(t)
	reloads := make(chan settings.Entry)
	stopEntry := s.startEntry(reloads)
	stopAgent := s.start(func(ctx context.Context) error {
		return roles.RunAgent(ctx, s.agent, slog.New(slog.DiscardHandler))
	})
	s.ready(s.agent.Listen.Operators)
	status, _ := s.get(s.agent.Listen.Operators, "/livez")
	s.Expect(status).To(Equal(http.StatusNoContent))

	s.Eventually(func() int {
		return s.complete(`{"model": "m", "prompt": "x", "max_tokens": 2}`, nil)
	}).WithTimeout(20 * time.Second).Should(Equal(http.StatusOK))
	s.Expect(s.complete(`{"model": "m:a", "prompt": "x", "max_tokens": 8, "stream": true}`, nil)).To(Equal(http.StatusOK))
	key, err := uuid.NewV7()
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.complete(`{"model": "m", "prompt": "x", "max_tokens": 2}`, map[string]string{"Idempotency-Key": key.String()})).
		To(Equal(http.StatusOK))

	expectFed := func(addr string, names ...string) {
		for _, name := range names {
			s.Eventually(func() map[string]bool { return s.fed(addr) }).WithTimeout(20*time.Second).
				Should(HaveKey("lagoonvalve_"+name), name)
		}
	}
	expectFed(s.entry.Listen.Operators, "requests_total", "model_requests_total", "first_token_seconds",
		"between_tokens_seconds", "queue_wait_seconds", "waiting_requests", "cold_start_seconds", "claims_total",
		"config_lag_seconds", "log_appends_total", "log_records_total", "control_bytes_total")
	expectFed(s.agent.Listen.Operators, "queue_wait_seconds", "waiting_requests", "model_loads_total", "adapter_loads_total",
		"idle_accelerator_seconds_total", "control_bytes_total", "agent_orders_total", "agent_requests_started_total")

	for _, addr := range []string{
		s.entry.Listen.Callers, s.entry.Listen.Operators, s.entry.Listen.Control,
		s.agent.Listen.Callers, s.agent.Listen.Operators, s.agent.Listen.Control,
	} {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = conn.Write([]byte("GET /livez HTTP/1.1\r\nHost: x\r\n\r\n"))
		s.Expect(err).NotTo(HaveOccurred())
		answer, _ := io.ReadAll(conn)
		s.Expect(string(answer)).NotTo(ContainSubstring("204"), addr)
		_ = conn.Close()
	}
	// Traffic to an agent needs a certificate of the internal authority.
	status, _ = s.get(s.agent.Listen.Callers, "/v1/completions")
	s.Expect(status).To(BeZero())

	changed := s.entry
	changed.Limits.BodyBytes = 1024
	changed.Tokens = []settings.Token{{Name: "x", Team: "t", Role: settings.RoleViewer, SHA256: strings.Repeat("0", 64)}}
	large := `{"model": "m", "prompt": "` + strings.Repeat("x", 2000) + `", "max_tokens": 2}`
	s.Expect(s.complete(large, nil)).To(Equal(http.StatusOK))
	reloads <- changed
	s.Eventually(func() int { return s.complete(large, nil) }).WithTimeout(20 * time.Second).Should(Equal(http.StatusRequestEntityTooLarge))
	s.Expect(s.operate("show models")).To(ContainSubstring("unauthorized"))

	stopAgent()
	stopEntry()
	// A new run of the entry shows what the former run and the agent wrote.
	s.startEntry(nil)
	s.Eventually(func() string { return s.operate("show audit") }).WithTimeout(20 * time.Second).
		Should(And(ContainSubstring(`"decide"`), ContainSubstring(`"load"`), ContainSubstring("m/v1")))
	s.Eventually(func() string { return s.operate("show counts where complete = complete") }).WithTimeout(20 * time.Second).
		Should(And(ContainSubstring("anonymous"), ContainSubstring("served")))
}
