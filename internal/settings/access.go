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

// roles lists the roles from the least to the most powerful.
var roles = []Role{RoleViewer, RoleOperator, RoleAdministrator}

// Allows reports whether a holder of r may do what needs the role needed.
func (r Role) Allows(needed Role) bool {
	has, needs := slices.Index(roles, r), slices.Index(roles, needed)
	return has >= 0 && needs >= 0 && has >= needs
}

// FindToken returns the entry of tokens that a bearer token belongs to. It
// compares digests in constant time and looks at all of them.
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

// Server returns the configuration of the side that accepts connections, or
// nil if the certificate is not set. With a CAFile the other side must show a
// certificate.
func (c Certificate) Server() (*tls.Config, error) {
	if !c.Enabled() {
		return nil, nil
	}
	config, authorities, err := c.load()
	if err != nil {
		return nil, err
	}
	if authorities != nil {
		config.ClientCAs = authorities
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

// Client returns the configuration of the side that opens connections, or nil
// if the certificate is not set. Without a CAFile the authorities of the host
// count.
func (c Certificate) Client() (*tls.Config, error) {
	if !c.Enabled() {
		return nil, nil
	}
	config, authorities, err := c.load()
	if err != nil {
		return nil, err
	}
	config.RootCAs = authorities
	return config, nil
}

func (c Certificate) load() (*tls.Config, *x509.CertPool, error) {
	pair, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "certificate %s", c.CertFile)
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if c.CAFile == "" {
		return config, nil, nil
	}
	pool, err := readAuthorities(c.CAFile)
	return config, pool, err
}

func readAuthorities(path string) (*x509.CertPool, error) {
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

// Client returns the configuration of the side that opens connections, or nil
// if the authorities of the host count.
func (a Authorities) Client() (*tls.Config, error) {
	if a.CAFile == "" {
		return nil, nil
	}
	pool, err := readAuthorities(a.CAFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}
