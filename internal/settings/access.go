package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"os"
	"slices"

	"github.com/go-faster/errors"
)

// roles lists the roles in ascending order of permissions.
var roles = []Role{RoleViewer, RoleOperator, RoleAdministrator}

// Allows reports whether r includes the permissions of the role needed.
func (r Role) Allows(needed Role) bool {
	has, needs := slices.Index(roles, r), slices.Index(roles, needed)
	return has >= 0 && needs >= 0 && has >= needs
}

// FindToken returns the element of tokens that matches a bearer token. To leak
// no timing information, it compares digests in constant time and always
// compares all of them.
func FindToken(tokens []Token, bearer string) (Token, bool) {
	digest := sha256.Sum256([]byte(bearer))
	text := []byte(hex.EncodeToString(digest[:]))
	var found Token
	ok := false
	for _, token := range tokens {
		if subtle.ConstantTimeCompare(text, []byte(token.SHA256)) == 1 {
			found, ok = token, true
		}
	}
	return found, ok && bearer != ""
}

// ServerConfig returns the TLS configuration for accepting connections, or nil
// if the certificate is not set. If CAFile is set, clients must present a
// certificate.
func (c Certificate) ServerConfig() (*tls.Config, error) {
	if !c.Enabled() {
		return nil, nil
	}
	config, authorities, err := c.loadConfig()
	if err != nil {
		return nil, err
	}
	if authorities != nil {
		config.ClientCAs = authorities
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// ClientConfig returns the TLS configuration for opening connections, or nil if
// the certificate is not set. Without a CAFile, the host's authorities are
// trusted.
func (c Certificate) ClientConfig() (*tls.Config, error) {
	if !c.Enabled() {
		return nil, nil
	}
	config, authorities, err := c.loadConfig()
	if err != nil {
		return nil, err
	}
	config.RootCAs = authorities
	return config, nil
}

func (c Certificate) loadConfig() (*tls.Config, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "load certificate %s", c.CertFile)
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if c.CAFile == "" {
		return config, nil, nil
	}
	pool, err := readCertPool(c.CAFile)
	return config, pool, err
}

func readCertPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("authorities %s: no certificate in the file", path)
	}
	return pool, nil
}

// ClientConfig returns the TLS configuration for opening connections, or nil if
// no CAFile is set and the host's authorities are trusted.
func (a CertificateAuthorities) ClientConfig() (*tls.Config, error) {
	if a.CAFile == "" {
		return nil, nil
	}
	pool, err := readCertPool(a.CAFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
