// Package certs provides the TLS configurations of the certificates in the settings
// and reloads the certificate files when they change.
package certs

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonvalve/lagoonvalve/internal/settings"
)

// handshakeTimeout bounds the TLS handshake of outgoing connections.
const handshakeTimeout = 2 * time.Second

// Source holds the certificate with which a process identifies itself as a server
// and as a client. A nil Source means unencrypted connections. Its methods are safe
// for concurrent use.
type Source struct {
	files settings.Certificate
	// onError is called when the changed files can't be used; the last usable
	// ones then stay in use.
	onError func(error)

	mu           sync.Mutex
	fileVersions [3]fileVersion
	server       *tls.Config
	client       *tls.Config
}

// fileVersion identifies the version of a file; a zero fileVersion means that the
// file is not set or can't be read.
type fileVersion struct {
	modTime time.Time
	size    int64
}

// Open loads the certificate files. It returns nil if the certificate is not set.
// onError is called with the error when changed files can't be used later.
func Open(files settings.Certificate, onError func(error)) (*Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	s := &Source{files: files, onError: onError, fileVersions: readFileVersions(files)}
	return s, s.load()
}

func readFileVersions(files settings.Certificate) (versions [3]fileVersion) {
	for i, path := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		if path == "" {
			continue
		}
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return versions
}

func (s *Source) load() error {
	server, err := s.files.ServerConfig()
	if err != nil {
		return err
	}
	client, err := s.files.ClientConfig()
	if err != nil {
		return err
	}
	s.server, s.client = server, client
	return nil
}

// currentConfigs returns the TLS configurations of the files, and reloads files
// that have changed. Files that can't be used are retried only after they change
// again.
func (s *Source) currentConfigs() (server, client *tls.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := readFileVersions(s.files); now != s.fileVersions {
		s.fileVersions = now
		if err := s.load(); err != nil {
			s.onError(err)
		}
	}
	return s.server, s.client
}

// Listener wraps listener to accept only TLS connections. It returns listener
// itself if the certificate is not set.
func (s *Source) Listener(listener net.Listener) net.Listener {
	if s == nil {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			server, _ := s.currentConfigs()
			return server, nil
		},
	})
}

// Dial opens a connection with the given dialer, and uses TLS if the certificate is
// set. The host name or IP address in addr must be in the server's certificate.
func (s *Source) Dial(ctx context.Context, dialer *net.Dialer, network, addr string) (net.Conn, error) {
	raw, err := dialer.DialContext(ctx, network, addr)
	if err != nil || s == nil {
		return raw, err
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "address")
	}
	_, client := s.currentConfigs()
	config := client.Clone()
	config.ServerName = host
	conn := tls.Client(raw, config)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		// An OpError with Op "dial" indicates to the callers that no request
		// was sent.
		return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: err}
	}
	return conn, nil
}

// Scheme returns "https" if the certificate is set, otherwise "http".
func (s *Source) Scheme() string {
	if s == nil {
		return "http"
	}
	return "https"
}
