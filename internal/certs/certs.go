// Package certs serves the certificates of the settings and reads their files
// again when they change.
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

// handshakeTimeout bounds the handshake of a connection that this side opens.
const handshakeTimeout = 2 * time.Second

// Source holds the certificate of one side of connections. A nil Source means
// clear text. Its methods may be called from any goroutine.
type Source struct {
	files settings.Certificate
	// failed hears of files that changed and can't be used; the last ones that
	// could stay in use.
	failed func(error)

	mu     sync.Mutex
	stamps [3]stamp
	server *tls.Config
	client *tls.Config
}

// stamp tells versions of a file apart.
type stamp struct {
	changed time.Time
	size    int64
}

// Open reads a certificate for the first time. It returns nil if the
// certificate is not set.
func Open(files settings.Certificate, failed func(error)) (*Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	s := &Source{files: files, failed: failed, stamps: stampsOf(files)}
	return s, s.load()
}

func stampsOf(files settings.Certificate) (stamps [3]stamp) {
	for i, path := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		if path == "" {
			continue
		}
		if info, err := os.Stat(path); err == nil {
			stamps[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

func (s *Source) load() error {
	server, err := s.files.Server()
	if err != nil {
		return err
	}
	client, err := s.files.Client()
	if err != nil {
		return err
	}
	s.server, s.client = server, client
	return nil
}

// configs returns the configurations of the files as they are now. Files that
// can't be used are tried again when they change.
func (s *Source) configs() (server, client *tls.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := stampsOf(s.files); now != s.stamps {
		s.stamps = now
		if err := s.load(); err != nil {
			s.failed(err)
		}
	}
	return s.server, s.client
}

// Listener returns a listener that refuses connections without TLS, or
// listener itself if the certificate is not set.
func (s *Source) Listener(listener net.Listener) net.Listener {
	if s == nil {
		return listener
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			server, _ := s.configs()
			return server, nil
		},
	})
}

// Dial opens a connection with the given dialer, secured if the certificate is
// set. The other side must be named or addressed as in its certificate.
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
	_, client := s.configs()
	config := client.Clone()
	config.ServerName = host
	conn := tls.Client(raw, config)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		// The error of a dial shows that nothing was sent.
		return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: err}
	}
	return conn, nil
}

// Scheme is "https" if the certificate is set, else "http".
func (s *Source) Scheme() string {
	if s == nil {
		return "http"
	}
	return "https"
}
