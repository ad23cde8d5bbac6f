package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// SeedSize is the size in bytes of the secret that a fleet shares.
const SeedSize = ed25519.SeedSize

// certificateLife is how long the certificate of a process is valid. It is
// made anew at each start and compared by its key only.
const certificateLife = 10 * 365 * 24 * time.Hour

// NewSeed returns a new secret.
func NewSeed() ([]byte, error) {
	seed := make([]byte, SeedSize)
	_, err := rand.Read(seed)
	return seed, err
}

// FleetTLS returns the configuration of mutual TLS between processes that
// share seed. Who holds the secret is trusted.
func FleetTLS(seed []byte, protocol string) (*tls.Config, error) {
	if len(seed) != SeedSize {
		return nil, fmt.Errorf("keys: secret of the fleet has %d bytes, want %d", len(seed), SeedSize)
	}
	key := ed25519.NewKeyFromSeed(seed)
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errors.New("keys: no public key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "catkinspindle"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		InsecureSkipVerify: true, // VerifyConnection compares the key instead.
		ClientAuth:         tls.RequireAnyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 || !public.Equal(s.PeerCertificates[0].PublicKey) {
				return errors.New("keys: peer does not hold the secret of the fleet")
			}
			return nil
		},
		NextProtos: []string{protocol},
		MinVersion: tls.VersionTLS13,
	}, nil
}
