package certs_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/lagoonvalve/lagoonvalve/internal/certs"
	"github.com/lagoonvalve/lagoonvalve/internal/rpc"
	"github.com/lagoonvalve/lagoonvalve/internal/settings"
)

// write puts a new authority and a certificate of it for 127.0.0.1 into the
// files of a directory. The serial number also sets the files' times, so that
// each writing is a change however fast it follows.
func write(t *testing.T, directory string, serial int64) settings.Certificate {
	t.Helper()
	g := NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	secret, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	put := func(name, kind string, data []byte) string {
		path := filepath.Join(directory, name)
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)).To(Succeed())
		g.Expect(os.Chtimes(path, time.Time{}, time.Unix(serial, 0))).To(Succeed())
		return path
	}
	return settings.Certificate{
		CertFile: put("cert.pem", "CERTIFICATE", der), KeyFile: put("key.pem", "EC PRIVATE KEY", secret),
		CAFile: put("ca.pem", "CERTIFICATE", der),
	}
}

// copyOf copies the files to another directory.
func copyOf(t *testing.T, files settings.Certificate) settings.Certificate {
	t.Helper()
	directory := t.TempDir()
	for _, path := range []*string{&files.CertFile, &files.KeyFile, &files.CAFile} {
		data, err := os.ReadFile(*path)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		*path = filepath.Join(directory, filepath.Base(*path))
		NewWithT(t).Expect(os.WriteFile(*path, data, 0o600)).To(Succeed())
	}
	return files
}

func open(t *testing.T, files settings.Certificate, failed func(error)) *certs.Source {
	t.Helper()
	source, err := certs.Open(files, failed)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return source
}

// pair is a server of both protocols between processes.
type pair struct{ control, traffic string }

func serve(t *testing.T, source *certs.Source) pair {
	t.Helper()
	listen := func() net.Listener {
		listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return source.Listener(listener)
	}
	control, traffic := listen(), listen()
	methods := rpc.NewServer(map[string]rpc.MethodFunc{
		"echo": rpc.Method(func(_ context.Context, p string) (string, error) { return p, nil }),
	})
	go func() { _ = methods.Serve(t.Context(), control) }()
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(traffic) }()
	return pair{control: control.Addr().String(), traffic: traffic.Addr().String()}
}

// reach calls both servers on new connections and returns the errors.
func reach(t *testing.T, source *certs.Source, to pair) []error {
	t.Helper()
	client := rpc.NewClient()
	client.Dial = source.Dial
	defer client.Close()
	var echoed string
	control := client.Call(t.Context(), to.control, "echo", "x", &echoed)
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		return source.Dial(ctx, &net.Dialer{}, network, addr)
	}
	transport := &http.Transport{DialContext: dial, DialTLSContext: dial, DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, source.Scheme()+"://"+to.traffic, http.NoBody)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	response, traffic := transport.RoundTrip(request)
	if traffic == nil {
		_ = response.Body.Close()
		NewWithT(t).Expect(response.StatusCode).To(SatisfyAny(Equal(http.StatusNoContent), Equal(http.StatusBadRequest)))
		if response.StatusCode == http.StatusBadRequest {
			traffic = http.ErrSchemeMismatch
		}
	}
	return []error{control, traffic}
}

func succeed() types.GomegaMatcher { return HaveEach(BeNil()) }
func fail() types.GomegaMatcher    { return HaveEach(HaveOccurred()) }

// Guards against plain text where a certificate is set, and against a peer of
// another authority that is let in or trusted.
func TestOnlyTheRightAuthorityIsReached(t *testing.T) {
	g := NewWithT(t)
	never := func(err error) { t.Error(err) }
	ours := open(t, write(t, t.TempDir(), 1), never)
	foreign := open(t, write(t, t.TempDir(), 2), never)
	secured, plain := serve(t, ours), serve(t, nil)
	g.Expect(reach(t, ours, secured)).To(succeed())
	g.Expect(reach(t, foreign, secured)).To(fail())
	g.Expect(reach(t, nil, secured)).To(fail())
	g.Expect(reach(t, ours, plain)).To(fail())
	g.Expect(reach(t, nil, plain)).To(succeed())
	// A client that trusts the server but shows a certificate of another
	// authority, or none, is not let in.
	files := write(t, t.TempDir(), 3)
	files.CAFile = filepath.Join(filepath.Dir(files.CAFile), "trusted.pem")
	trusted := write(t, t.TempDir(), 4)
	data, err := os.ReadFile(trusted.CAFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(files.CAFile, data, 0o600)).To(Succeed())
	g.Expect(reach(t, open(t, files, never), serve(t, open(t, trusted, never)))).To(fail())
	// A server that trusts the client but shows a certificate of another
	// authority is not trusted.
	g.Expect(reach(t, open(t, trusted, never), serve(t, open(t, files, never)))).To(fail())
}

// Guards against certificates that are read once only, and against unusable
// files that replace the ones in use.
func TestChangedFilesAreRead(t *testing.T) {
	g := NewWithT(t)
	directory := t.TempDir()
	files := write(t, directory, 1)
	var failures []error
	server := open(t, files, func(err error) { failures = append(failures, err) })
	to := serve(t, server)
	before := open(t, copyOf(t, files), nil)
	g.Expect(reach(t, before, to)).To(succeed())
	files = write(t, directory, 2)
	g.Expect(reach(t, before, to)).To(fail())
	g.Expect(reach(t, open(t, files, nil), to)).To(succeed())
	g.Expect(os.WriteFile(files.KeyFile, []byte("half a key"), 0o600)).To(Succeed())
	g.Expect(reach(t, server, to)).To(succeed())
	g.Expect(failures).To(HaveLen(1))
	write(t, directory, 3)
	g.Expect(reach(t, server, to)).To(succeed())
	g.Expect(failures).To(HaveLen(1))
}
