// Package mtls configures mutual TLS between the system's processes. The files
// are read again when they change, so that keys are replaced without a restart:
// new connections use the new keys, and open ones are kept.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/config"
)

// Keys are the key and certificates of one process, as last read from files.
type Keys struct {
	spec  config.KeysSpec
	mu    sync.Mutex
	files [3]fileState
	cert  tls.Certificate
	pool  *x509.CertPool
}

// fileState shows whether a file has changed since it was read.
type fileState struct {
	modified time.Time
	size     int64
}

// New reads the files. It returns nil if the settings name no files.
func New(spec config.KeysSpec) (*Keys, error) {
	if spec == (config.KeysSpec{}) {
		return nil, nil
	}
	k := &Keys{spec: spec}
	if _, _, err := k.current(); err != nil {
		return nil, err
	}
	return k, nil
}

// current returns the newest valid keys. While the files can't be read, as in
// the middle of a replacement, it returns the previous ones.
func (k *Keys) current() (tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	files, err := k.fileStates()
	if err == nil && files != k.files {
		err = k.reload(files)
	}
	if k.pool == nil {
		return k.cert, nil, err
	}
	return k.cert, k.pool, nil
}

func (k *Keys) fileStates() ([3]fileState, error) {
	var files [3]fileState
	for i, name := range []string{k.spec.Cert, k.spec.Key, k.spec.Trust} {
		info, err := os.Stat(name)
		if err != nil {
			return files, errors.Wrap(err, "check key file")
		}
		files[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return files, nil
}

func (k *Keys) reload(files [3]fileState) error {
	cert, err := tls.LoadX509KeyPair(k.spec.Cert, k.spec.Key)
	if err != nil {
		return errors.Wrapf(err, "load key pair %s and %s", k.spec.Cert, k.spec.Key)
	}
	roots, err := os.ReadFile(k.spec.Trust)
	if err != nil {
		return errors.Wrap(err, "read trusted certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(roots) {
		return errors.Errorf("%s contains no certificate", k.spec.Trust)
	}
	k.cert, k.pool, k.files = cert, pool, files
	return nil
}

// Server returns the TLS configuration for accepting connections, which
// requires a valid certificate of every peer. It is nil without keys.
func (k *Keys) Server() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := k.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				// Session resumption would accept a peer whose certificate is
				// no longer trusted.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the TLS configuration for calling a node. The node's
// certificate must be issued to its name. It is nil without keys.
func (k *Keys) Client(node glade.Node) *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// RootCAs is fixed once the configuration is made and would miss
		// replaced certificates. The verify method does the same check with the
		// current ones.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return k.verify(state, node) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := k.current()
			return &cert, err
		},
	}
}

func (k *Keys) verify(state tls.ConnectionState, node glade.Node) error {
	_, pool, err := k.current()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, DNSName: string(node),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrapf(err, "verify certificate of %s", node)
}
