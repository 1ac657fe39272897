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

// writeCertificate writes a new self-signed certificate for 127.0.0.1, which is
// also its own authority, to the files of a directory. The serial number also sets
// the files' modification times, so that each write is detected as a change however
// soon it follows the last one.
func writeCertificate(t *testing.T, directory string, serial int64) settings.Certificate {
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
	writePEM := func(name, kind string, data []byte) string {
		path := filepath.Join(directory, name)
		g.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)).To(Succeed())
		g.Expect(os.Chtimes(path, time.Time{}, time.Unix(serial, 0))).To(Succeed())
		return path
	}
	return settings.Certificate{
		CertFile: writePEM("cert.pem", "CERTIFICATE", der), KeyFile: writePEM("key.pem", "EC PRIVATE KEY", secret),
		CAFile: writePEM("ca.pem", "CERTIFICATE", der),
	}
}

// copyFiles copies the files to a new directory and returns the paths there.
func copyFiles(t *testing.T, files settings.Certificate) settings.Certificate {
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

func openSource(t *testing.T, files settings.Certificate, onError func(error)) *certs.Source {
	t.Helper()
	source, err := certs.Open(files, onError)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return source
}

// serverAddresses holds the addresses of a control server (RPC) and a traffic
// server (HTTP), the two protocols between processes.
type serverAddresses struct{ control, traffic string }

func serve(t *testing.T, source *certs.Source) serverAddresses {
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
	return serverAddresses{control: control.Addr().String(), traffic: traffic.Addr().String()}
}

// callBoth calls both servers on new connections and returns the two errors.
func callBoth(t *testing.T, source *certs.Source, servers serverAddresses) []error {
	t.Helper()
	client := rpc.NewClient()
	client.Dial = source.Dial
	defer client.Close()
	var echoed string
	control := client.Call(t.Context(), servers.control, "echo", "x", &echoed)
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		return source.Dial(ctx, &net.Dialer{}, network, addr)
	}
	transport := &http.Transport{DialContext: dial, DialTLSContext: dial, DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, source.Scheme()+"://"+servers.traffic, http.NoBody)
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

// Guards against plain-text connections where a certificate is set, and against a
// client or server being accepted whose certificate another authority has signed.
func TestPeersNeedCertificateOfTrustedAuthority(t *testing.T) {
	g := NewWithT(t)
	failTest := func(err error) { t.Error(err) }
	ours := openSource(t, writeCertificate(t, t.TempDir(), 1), failTest)
	foreign := openSource(t, writeCertificate(t, t.TempDir(), 2), failTest)
	secured, plain := serve(t, ours), serve(t, nil)
	g.Expect(callBoth(t, ours, secured)).To(succeed())
	g.Expect(callBoth(t, foreign, secured)).To(fail())
	g.Expect(callBoth(t, nil, secured)).To(fail())
	g.Expect(callBoth(t, ours, plain)).To(fail())
	g.Expect(callBoth(t, nil, plain)).To(succeed())
	// A server rejects a client that trusts it but presents a certificate of
	// another authority, or none.
	files := writeCertificate(t, t.TempDir(), 3)
	files.CAFile = filepath.Join(filepath.Dir(files.CAFile), "trusted.pem")
	trusted := writeCertificate(t, t.TempDir(), 4)
	data, err := os.ReadFile(trusted.CAFile)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(files.CAFile, data, 0o600)).To(Succeed())
	g.Expect(callBoth(t, openSource(t, files, failTest), serve(t, openSource(t, trusted, failTest)))).To(fail())
	// A client rejects a server that trusts it but presents a certificate of
	// another authority.
	g.Expect(callBoth(t, openSource(t, trusted, failTest), serve(t, openSource(t, files, failTest)))).To(fail())
}

// Guards against changed certificate files that are never reloaded, and against
// unusable files that replace the certificate in use.
func TestChangedFilesAreReloaded(t *testing.T) {
	g := NewWithT(t)
	directory := t.TempDir()
	files := writeCertificate(t, directory, 1)
	var failures []error
	server := openSource(t, files, func(err error) { failures = append(failures, err) })
	servers := serve(t, server)
	before := openSource(t, copyFiles(t, files), nil)
	g.Expect(callBoth(t, before, servers)).To(succeed())
	files = writeCertificate(t, directory, 2)
	g.Expect(callBoth(t, before, servers)).To(fail())
	g.Expect(callBoth(t, openSource(t, files, nil), servers)).To(succeed())
	g.Expect(os.WriteFile(files.KeyFile, []byte("half a key"), 0o600)).To(Succeed())
	g.Expect(callBoth(t, server, servers)).To(succeed())
	g.Expect(failures).To(HaveLen(1))
	writeCertificate(t, directory, 3)
	g.Expect(callBoth(t, server, servers)).To(succeed())
	g.Expect(failures).To(HaveLen(1))
}
