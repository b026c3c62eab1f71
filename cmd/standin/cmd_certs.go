package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/clitab"
	"github.com/coriandershift/coriandershift/internal/state/keyset"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
)

const (
	certValid   = 30 * 24 * time.Hour
	publicName  = "public.coriandershift"
	secretMode  = 0o600
	pemCert     = "CERTIFICATE"
	pemKey      = "PRIVATE KEY"
	authorityIs = "coriandershift test authority"
)

var certsArgs struct {
	Dir string `arg:"--dir,required" help:"directory to write to"`
}

var certsCommand = clitab.Command{
	Name: "certs",
	Help: "make certificates and a key file for tests",
	Args: &certsArgs,
	Run:  runCerts,
}

// issuer signs certificates for tests.
type issuer struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func runCerts() error {
	if err := os.MkdirAll(certsArgs.Dir, 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}

	i := &issuer{dir: certsArgs.Dir}
	if err := i.makeAuthority(); err != nil {
		return err
	}
	if err := i.issue("peers", admin.PeerName); err != nil {
		return err
	}
	if err := i.issue("public", publicName); err != nil {
		return err
	}
	return i.writeKeys()
}

func (i *issuer) makeAuthority() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make key")
	}

	template := newTemplate(authorityIs)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "make authority")
	}

	i.key = key
	i.cert, err = x509.ParseCertificate(der)
	if err != nil {
		return errors.Wrap(err, "parse authority")
	}
	return i.writePEM("authority.pem", pemCert, der)
}

func (i *issuer) issue(file, name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make key")
	}

	template := newTemplate(name)
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, i.cert, &key.PublicKey, i.key)
	if err != nil {
		return errors.Wrapf(err, "make certificate %q", name)
	}
	if err := i.writePEM(file+".pem", pemCert, der); err != nil {
		return err
	}

	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	return i.writePEM(file+".key", pemKey, secret)
}

func (i *issuer) writeKeys() error {
	text := fmt.Sprintf("// Keys of a test deployment.\n{\"current\": 0, \"connectionIds\": {\"0\": %q}, \"cluster\": %q}\n",
		randomHex(), randomHex())
	return errors.Wrap(os.WriteFile(filepath.Join(i.dir, "keys.hujson"), []byte(text), secretMode), "write keys")
}

func (i *issuer) writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(filepath.Join(i.dir, file), data, secretMode), "write certificate")
}

func newTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certValid),
	}
}

func randomHex() string {
	key := make([]byte, keyset.KeyLength)
	_, _ = rand.Read(key) // never fails
	return hex.EncodeToString(key)
}
