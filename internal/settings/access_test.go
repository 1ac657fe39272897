package settings_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lagoonvalve/lagoonvalve/internal/settings"
)

// Guards against accepting a bearer token that is empty, not listed or the
// digest of a listed one, and against a role that allows more than it should.
func TestTokensAndRoles(t *testing.T) {
	g := NewWithT(t)
	entry, err := settings.Load[settings.Entry](entryExample)
	g.Expect(err).NotTo(HaveOccurred())
	token, ok := settings.FindToken(entry.Tokens, "example-operator")
	g.Expect(ok).To(BeTrue())
	g.Expect(token.Name).To(Equal("night-shift"))
	withEmpty := append(slices.Clone(entry.Tokens), settings.Token{SHA256: "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"})
	for _, bearer := range []string{"", "example-operator ", token.SHA256} {
		_, ok := settings.FindToken(withEmpty, bearer)
		g.Expect(ok).To(BeFalse(), bearer)
	}
	order := []settings.Role{settings.RoleViewer, settings.RoleOperator, settings.RoleAdministrator}
	for i, has := range order {
		for j, needs := range order {
			g.Expect(has.Allows(needs)).To(Equal(i >= j))
		}
		g.Expect(has.Allows("root")).To(BeFalse())
		g.Expect(settings.Role("root").Allows(has)).To(BeFalse())
	}
}

// writeCertificate writes a self-signed certificate for localhost, which is its
// own authority, and its key to files.
func writeCertificate(t *testing.T) settings.Certificate {
	t.Helper()
	g := NewWithT(t)
	directory := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(directory, name)
		data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
		return path
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, DNSNames: []string{"localhost"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	private, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	cert := write("cert.pem", "CERTIFICATE", der)
	return settings.Certificate{CertFile: cert, KeyFile: write("key.pem", "EC PRIVATE KEY", private), CAFile: cert}
}

// handshake performs a TLS handshake and returns the server's error. It uses
// TCP, as over an unbuffered pipe the client's alert and the server's remaining
// messages would block each other.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	client = client.Clone()
	client.ServerName = "localhost"
	go func() {
		conn, err := tls.Dial("tcp", listener.Addr().String(), client)
		if err == nil {
			// Waits for the server to close the connection.
			_, _ = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
	}()
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = accepted.Close() }()
	g.Expect(accepted.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return tls.Server(accepted, server).Handshake()
}

// Guards against connections between processes that accept a peer without a
// certificate or with one of another authority.
func TestInternalConnectionsCheckBothSides(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := writeCertificate(t), writeCertificate(t)
	server, err := ours.ServerConfig()
	g.Expect(err).NotTo(HaveOccurred())
	client, err := ours.ClientConfig()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(handshake(t, server, client)).To(Succeed())
	stranger, err := theirs.ClientConfig()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(handshake(t, server, stranger)).NotTo(Succeed())
	stranger.RootCAs = client.RootCAs
	g.Expect(handshake(t, server, stranger)).NotTo(Succeed())
	anonymous := &tls.Config{RootCAs: client.RootCAs}
	g.Expect(handshake(t, server, anonymous)).NotTo(Succeed())

	none, err := settings.Certificate{}.ServerConfig()
	g.Expect(none, err).To(BeNil())
	_, err = settings.Certificate{CertFile: "absent", KeyFile: "absent"}.ClientConfig()
	g.Expect(err).To(HaveOccurred())
	ours.CAFile = ours.KeyFile
	_, err = ours.ServerConfig()
	g.Expect(err).To(MatchError(ContainSubstring("no certificate in the file")))
}
