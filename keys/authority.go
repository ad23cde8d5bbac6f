// Package keys issues the certificates with which nodes authenticate each other.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/catkinspindle/catkinspindle/peers"
)

// Certificate validity periods.
const (
	authorityValidity = 5 * 365 * 24 * time.Hour
	nodeValidity      = 90 * 24 * time.Hour
	// clockSkew backdates certificates, so that a VM whose clock is behind accepts a new one.
	clockSkew = 5 * time.Minute
)

// Authority is a certificate authority that signs node certificates. Its key and
// certificate are files in one directory.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// OpenOrCreateAuthority loads the authority from dir, or creates one if dir has no authority.pem.
func OpenOrCreateAuthority(dir string) (*Authority, error) {
	a := &Authority{dir: dir}
	if _, err := os.Stat(a.path("authority.pem")); err == nil {
		return a, a.read()
	}
	return a, a.create()
}

func (a *Authority) path(name string) string { return filepath.Join(a.dir, name) }

func (a *Authority) read() error {
	certPEM, err := os.ReadFile(a.path("authority.pem"))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	keyPEM, err := os.ReadFile(a.path("authority-key.pem"))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return fmt.Errorf("keys: %s: authority.pem or authority-key.pem holds no PEM block", a.dir)
	}
	if a.cert, err = x509.ParseCertificate(certBlock.Bytes); err != nil {
		return fmt.Errorf("keys: authority.pem: %w", err)
	}
	if a.key, err = x509.ParseECPrivateKey(keyBlock.Bytes); err != nil {
		return fmt.Errorf("keys: authority-key.pem: %w", err)
	}
	return nil
}

func (a *Authority) create() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	template, err := newTemplate("catkinspindle authority", authorityValidity)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	a.key = key
	a.cert = template
	der, err := a.sign(template, key)
	if err != nil {
		return err
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return a.write("authority", der, key)
}

// Issue creates a key and certificate for a node and writes them as NAME-key.pem and
// NAME.pem to the directory of the authority.
func (a *Authority) Issue(name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	template, err := newTemplate(name, nodeValidity)
	if err != nil {
		return err
	}
	template.DNSNames = []string{peers.ServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := a.sign(template, key)
	if err != nil {
		return err
	}
	return a.write(name, der, key)
}

// serialBits is the length of a random certificate serial number.
const serialBits = 120

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func (a *Authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return der, nil
}

const (
	certFileMode = 0o644
	keyFileMode  = 0o600
)

func (a *Authority) write(name string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := os.WriteFile(a.path(name+".pem"), certPEM, certFileMode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := os.WriteFile(a.path(name+"-key.pem"), keyPEM, keyFileMode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}
