package mtls

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

// Issuer is a certificate authority for nodes. Its key is never written to a
// file. New certificates come from a new issuer, and during the replacement
// both issuers are trusted.
type Issuer struct {
	key       *ecdsa.PrivateKey
	cert      *x509.Certificate
	notBefore time.Time
	notAfter  time.Time
}

// NewIssuer returns an issuer. Its certificates are valid between the two
// times.
func NewIssuer(notBefore, notAfter time.Time) (*Issuer, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "indigoglade"}, NotBefore: notBefore, NotAfter: notAfter,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	i := &Issuer{key: key, notBefore: notBefore, notAfter: notAfter}
	i.cert, err = i.sign(template, template, key)
	return i, err
}

func (i *Issuer) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, i.key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	return x509.ParseCertificate(der)
}

// fileMode makes key files readable by their owner only.
const fileMode = 0o600

// Write writes the key and certificate of a node and the trusted certificate to
// dir, and returns the settings that name the files.
func (i *Issuer) Write(dir string, node glade.Node) (config.KeysSpec, error) {
	spec := config.KeysSpec{
		Cert:  filepath.Join(dir, string(node)+".crt"),
		Key:   filepath.Join(dir, string(node)+".key"),
		Trust: filepath.Join(dir, "trust.crt"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return spec, errors.Wrap(err, "generate key")
	}
	cert, err := i.sign(&x509.Certificate{
		Subject: pkix.Name{CommonName: string(node)}, DNSNames: []string{string(node)}, NotBefore: i.notBefore, NotAfter: i.notAfter,
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
