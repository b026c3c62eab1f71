// Package certs creates certificates and keys for tests and demonstrations.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	// PublicName is the DNS name in the certificates presented to callers.
	PublicName = "public.coriandershift"

	validity      = 30 * 24 * time.Hour
	secretMode    = 0o600
	authorityName = "coriandershift test authority"
)

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an Authority with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}

	template := newTemplate(authorityName)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}

	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, errors.Wrap(err, "parse authority certificate")
}

// Pool returns a pool that contains only the authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Issue returns a certificate for a DNS name, valid for servers and clients.
func (a *Authority) Issue(name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate key")
	}

	template := newTemplate(name)
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "create certificate %q", name)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// MutualTLS returns a configuration for servers and clients that authenticate each
// other by certificates for the same DNS name.
func (a *Authority) MutualTLS(name string) (*tls.Config, error) {
	pair, err := a.Issue(name)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      a.Pool(),
		ClientCAs:    a.Pool(),
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   name,
	}, nil
}

// Write writes the authority's certificate to a PEM file.
func (a *Authority) Write(path string) error {
	return writePEM(path, "CERTIFICATE", a.cert.Raw)
}

// WritePair writes a certificate to NAME.pem and its key to NAME.key, both in dir.
func WritePair(dir, name string, pair tls.Certificate) error {
	if err := writePEM(filepath.Join(dir, name+".pem"), "CERTIFICATE", pair.Certificate[0]); err != nil {
		return err
	}

	der, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	return writePEM(filepath.Join(dir, name+".key"), "PRIVATE KEY", der)
}

func writePEM(path, blockType string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return errors.Wrap(os.WriteFile(path, data, secretMode), "write PEM file")
}

func newTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
	}
}
