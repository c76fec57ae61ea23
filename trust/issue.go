package trust

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/config"
)

// Issuer signs certificates for nodes. Its own key is never written to a file:
// a later set of keys comes from a new issuer, and both are trusted while they
// are replaced.
type Issuer struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	from time.Time
	to   time.Time
}

// NewIssuer returns an issuer whose certificates are valid between two times.
func NewIssuer(from, to time.Time) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "indigoglade"}, NotBefore: from, NotAfter: to,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	i := &Issuer{key: key, from: from, to: to}
	i.cert, err = i.sign(template, template, key)
	return i, err
}

func (i *Issuer) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Wrap(err, "choose serial number")
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, i.key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	return x509.ParseCertificate(der)
}

// fileMode lets only the owner read keys.
const fileMode = 0o600

// Write writes the key, the certificate and the trusted certificates of a node
// to dir and returns the settings that name them.
func (i *Issuer) Write(dir string, node glade.Node) (config.KeysSpec, error) {
	spec := config.KeysSpec{
		Cert:  filepath.Join(dir, string(node)+".crt"),
		Key:   filepath.Join(dir, string(node)+".key"),
		Trust: filepath.Join(dir, "trust.crt"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return spec, errors.Wrap(err, "make key")
	}
	cert, err := i.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: string(node)}, DNSNames: []string{string(node)}, NotBefore: i.from, NotAfter: i.to,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, i.cert, key)
	if err != nil {
		return spec, err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return spec, errors.Wrap(err, "encode key")
	}
	files := []struct {
		name, kind string
		der        []byte
	}{
		{spec.Key, "EC PRIVATE KEY", der}, {spec.Cert, "CERTIFICATE", cert.Raw}, {spec.Trust, "CERTIFICATE", i.cert.Raw},
	}
	for _, f := range files {
		encoded := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		if err := os.WriteFile(f.name, encoded, fileMode); err != nil {
			return spec, errors.Wrap(err, "write key file")
		}
	}
	return spec, nil
}
