package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Roles of a certificate.
const (
	RoleEntry    = "entry"
	RoleAgent    = "agent"
	RoleOperator = "operator"
)

// reloadAfter is how long a certificate read from file is used without a look
// at the file.
const reloadAfter = 2 * time.Second

// Keys are the files of a process's identity. The zero value without Plain
// cannot be used.
type Keys struct {
	Cert  string
	Key   string
	CA    string
	Plain bool
	// Expiry, if set, is told when the own certificate expires.
	Expiry func(time.Time)

	mu     sync.Mutex
	held   *tls.Certificate
	pool   *x509.CertPool
	readAt time.Time
	stamp  [3]time.Time
}

// load returns the certificate and the authorities, read again if the files
// have changed. Files that cannot be read leave the last good ones in use.
func (k *Keys) load() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.held != nil && now.Sub(k.readAt) < reloadAfter {
		return k.held, k.pool, nil
	}
	stamp := k.stamps()
	if k.held != nil && stamp == k.stamp {
		k.readAt = now
		return k.held, k.pool, nil
	}
	if err := k.read(); err != nil {
		if k.held != nil {
			return k.held, k.pool, nil
		}
		return nil, nil, err
	}
	k.readAt = now
	k.stamp = stamp
	return k.held, k.pool, nil
}

func (k *Keys) stamps() [3]time.Time {
	var stamps [3]time.Time
	for i, name := range []string{k.Cert, k.Key, k.CA} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

func (k *Keys) read() error {
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return errors.Wrap(err, "read certificate")
	}
	text, err := os.ReadFile(k.CA)
	if err != nil {
		return errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return errors.Newf("%s holds no certificate", k.CA)
	}
	k.held = &cert
	k.pool = pool
	if k.Expiry != nil && cert.Leaf != nil {
		k.Expiry(cert.Leaf.NotAfter)
	}
	return nil
}

func (k *Keys) serverTLS() (*tls.Config, error) {
	if _, _, err := k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := k.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
	}, nil
}

func (k *Keys) clientTLS() (*tls.Config, error) {
	if _, _, err := k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := k.load()
			return cert, err
		},
		// The default check is replaced by one against the authorities as they
		// are now, so that a replaced file takes effect without a restart.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks instead.
		VerifyConnection:   k.verify,
	}, nil
}

func (k *Keys) verify(state tls.ConnectionState) error {
	_, pool, err := k.load()
	if err != nil {
		return err
	}
	options := x509.VerifyOptions{
		Roots:         pool,
		DNSName:       state.ServerName,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "verify server")
}

// Only lets through callers whose certificate has one of the roles. In plain
// text every caller passes.
func (k *Keys) Only(h http.Handler, roles ...string) http.Handler {
	if k.Plain {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(roles, roleOf(r)) {
			http.Error(w, "the certificate's role may not do this", http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// roleOf returns the role in the caller's verified certificate.
func roleOf(r *http.Request) string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return ""
	}
	units := r.TLS.VerifiedChains[0][0].Subject.OrganizationalUnit
	if len(units) != 1 {
		return ""
	}
	return units[0]
}
