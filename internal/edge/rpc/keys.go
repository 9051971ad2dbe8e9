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

// Roles in certificates.
const (
	RoleEntry    = "entry"
	RoleAgent    = "agent"
	RoleOperator = "operator"
)

// reloadInterval is the interval at which the certificate files are checked for changes.
const reloadInterval = 2 * time.Second

// Keys are the credentials of a process, read from files. The zero value is only usable
// with Plaintext set.
type Keys struct {
	Cert      string
	Key       string
	CA        string
	Plaintext bool
	// OnLoad, if set, is called with the expiry time of each certificate that is loaded.
	OnLoad func(time.Time)

	mu        sync.Mutex
	current   *tls.Certificate
	roots     *x509.CertPool
	checkedAt time.Time
	modTimes  [3]time.Time
}

// load returns the certificate and the certificate authorities, and reads them again if
// the files have changed. If they cannot be read, the previous ones stay in use.
func (k *Keys) load() (*tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.current != nil && now.Sub(k.checkedAt) < reloadInterval {
		return k.current, k.roots, nil
	}
	modTimes := k.fileTimes()
	if k.current != nil && modTimes == k.modTimes {
		k.checkedAt = now
		return k.current, k.roots, nil
	}
	if err := k.read(); err != nil {
		if k.current != nil {
			return k.current, k.roots, nil
		}
		return nil, nil, err
	}
	k.checkedAt = now
	k.modTimes = modTimes
	return k.current, k.roots, nil
}

func (k *Keys) fileTimes() [3]time.Time {
	var fileTimes [3]time.Time
	for i, name := range []string{k.Cert, k.Key, k.CA} {
		if info, err := os.Stat(name); err == nil {
			fileTimes[i] = info.ModTime()
		}
	}
	return fileTimes
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
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return errors.Newf("%s: no certificate found", k.CA)
	}
	k.current = &cert
	k.roots = roots
	if k.OnLoad != nil && cert.Leaf != nil {
		k.OnLoad(cert.Leaf.NotAfter)
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
			cert, roots, err := k.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    roots,
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
		// The default verification is replaced by one against the current certificate
		// authorities, so that a replaced file takes effect without a restart.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the certificate instead.
		VerifyConnection:   k.verify,
	}, nil
}

func (k *Keys) verify(state tls.ConnectionState) error {
	_, roots, err := k.load()
	if err != nil {
		return err
	}
	options := x509.VerifyOptions{
		Roots:         roots,
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

// RequireRole rejects callers whose certificate has none of the roles. In plaintext, it
// accepts every caller.
func (k *Keys) RequireRole(h http.Handler, roles ...string) http.Handler {
	if k.Plaintext {
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

// roleOf returns the role in the verified certificate of the caller.
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
