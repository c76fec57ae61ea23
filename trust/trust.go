// Package trust secures the connections between the system's own processes
// with mutual TLS. The files are read again when they change, so that keys are
// replaced without a restart: connections that are open stay, and new ones use
// the new keys.
package trust

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

// Keys are the files of one process, as they were when last read.
type Keys struct {
	spec  config.KeysSpec
	mu    sync.Mutex
	stamp [3]stamp
	cert  tls.Certificate
	pool  *x509.CertPool
}

// stamp tells whether a file was written since.
type stamp struct {
	at   time.Time
	size int64
}

// New reads the files. A process without keys in its settings gets nil.
func New(spec config.KeysSpec) (*Keys, error) {
	if spec == (config.KeysSpec{}) {
		return nil, nil
	}
	k := &Keys{spec: spec}
	if _, _, err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

// load returns the newest usable keys. While the files can't be read, as in
// the middle of a replacement, the last good ones stay.
func (k *Keys) load() (tls.Certificate, *x509.CertPool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	stamps, err := k.stamps()
	if err == nil && stamps != k.stamp {
		err = k.read(stamps)
	}
	if k.pool == nil {
		return k.cert, nil, err
	}
	return k.cert, k.pool, nil
}

func (k *Keys) stamps() ([3]stamp, error) {
	var stamps [3]stamp
	for i, name := range []string{k.spec.Cert, k.spec.Key, k.spec.Trust} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "find key file")
		}
		stamps[i] = stamp{at: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (k *Keys) read(stamps [3]stamp) error {
	cert, err := tls.LoadX509KeyPair(k.spec.Cert, k.spec.Key)
	if err != nil {
		return errors.Wrapf(err, "read %s and %s", k.spec.Cert, k.spec.Key)
	}
	roots, err := os.ReadFile(k.spec.Trust)
	if err != nil {
		return errors.Wrap(err, "read trusted certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(roots) {
		return errors.Errorf("%s holds no certificate", k.spec.Trust)
	}
	k.cert, k.pool, k.stamp = cert, pool, stamps
	return nil
}

// Server returns the settings of the accepting side, which asks every peer for
// a valid certificate. It is nil without keys.
func (k *Keys) Server() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, err := k.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				// A ticket would let a peer back in under a certificate that
				// is no longer trusted.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the settings for calling a node, whose certificate must name
// it. It is nil without keys.
func (k *Keys) Client(node glade.Node) *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The check against RootCAs would keep the roots of the start; verify
		// does the same check against those of the moment.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return k.verify(state, node) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := k.load()
			return &cert, err
		},
	}
}

func (k *Keys) verify(state tls.ConnectionState, node glade.Node) error {
	_, pool, err := k.load()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	between := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: between, DNSName: string(node),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrapf(err, "certificate of %s", node)
}
