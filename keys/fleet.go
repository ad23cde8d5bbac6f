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

// FleetSecretSize is the size in bytes of the shared secret of a fleet.
const FleetSecretSize = ed25519.SeedSize

// processValidity is the validity period of a process's self-signed certificate. It can
// be long, because each start creates a new certificate and peers compare only its key.
const processValidity = 10 * 365 * 24 * time.Hour

// NewFleetSecret returns a new random fleet secret of FleetSecretSize bytes.
func NewFleetSecret() ([]byte, error) {
	seed := make([]byte, FleetSecretSize)
	_, err := rand.Read(seed)
	return seed, err
}

// NewFleetTLSConfig returns a mutual TLS configuration for processes that share seed, with protocol
// as the ALPN protocol. The key pair is derived from seed, and any peer that proves
// possession of the same key is trusted.
func NewFleetTLSConfig(seed []byte, protocol string) (*tls.Config, error) {
	if len(seed) != FleetSecretSize {
		return nil, fmt.Errorf("keys: fleet secret has %d bytes, want %d", len(seed), FleetSecretSize)
	}
	key := ed25519.NewKeyFromSeed(seed)
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok {
		return nil, errors.New("keys: ed25519 key has no ed25519 public key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "catkinspindle"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(processValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return &tls.Config{
		Certificates:       []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		InsecureSkipVerify: true, // VerifyConnection compares the public key instead.
		ClientAuth:         tls.RequireAnyClientCert,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 || !public.Equal(s.PeerCertificates[0].PublicKey) {
				return errors.New("keys: peer certificate key does not match the fleet secret")
			}
			return nil
		},
		NextProtos: []string{protocol},
		MinVersion: tls.VersionTLS13,
	}, nil
}
