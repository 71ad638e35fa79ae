package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"os"
	"time"

	"github.com/quic-go/quic-go"
)

// ALPN is the protocol name that both sides negotiate.
const ALPN = "guavapoint/1"

// LoadTLS reads the certificate, its private key and the certificate of the authority from PEM files. The result is
// meant for Config.TLS.
func LoadTLS(certificate, key, authority string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s with key %s: %w", certificate, key, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load authority: %s holds no certificate", authority)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// selfSignedLifetime is the validity of the key of one start. A daemon is restarted well before it ends.
const selfSignedLifetime = 365 * 24 * time.Hour

// SelfSignedTLS returns a configuration with a new key, for deployments that give the daemons none. Calls are encrypted,
// but peers are not authenticated.
func SelfSignedTLS() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(selfSignedLifetime)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}, nil
}

// authenticates reports whether a configuration verifies its peers.
func authenticates(c *tls.Config) bool {
	return c.RootCAs != nil
}

// serverTLS derives the configuration for accepted connections.
func serverTLS(base *tls.Config) *tls.Config {
	c := base.Clone()
	if authenticates(base) {
		c.ClientCAs = base.RootCAs
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	c.NextProtos = []string{ALPN}
	c.MinVersion = tls.VersionTLS13
	c.SessionTicketsDisabled = true // a ticket would outlive the certificate that it was issued for
	return c
}

// clientTLS derives the configuration for opened connections. Peers are known by address only and VMs are replaced at
// any time, so the chain to the authority is verified but not the host name.
func clientTLS(base *tls.Config) *tls.Config {
	c := base.Clone()
	c.NextProtos = []string{ALPN}
	c.MinVersion = tls.VersionTLS13
	c.InsecureSkipVerify = true // replaced by VerifyConnection
	if !authenticates(base) {
		return c
	}
	c.VerifyConnection = func(state tls.ConnectionState) error {
		return verifyChain(state.PeerCertificates, base.RootCAs)
	}
	return c
}

func verifyChain(chain []*x509.Certificate, roots *x509.CertPool) error {
	if len(chain) == 0 {
		return errors.New("peer presented no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, c := range chain[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return &tls.CertificateVerificationError{UnverifiedCertificates: chain, Err: err}
	}
	return nil
}

// resetKey derives the key of stateless resets from the private key and the address. A daemon that restarts with the
// same certificate on the same address thereby tells the peers at once that their old connections are gone. A key that
// can't be marshaled, as in a hardware module, disables the resets.
func resetKey(c *tls.Config, address string) *quic.StatelessResetKey {
	der, err := x509.MarshalPKCS8PrivateKey(c.Certificates[0].PrivateKey)
	if err != nil {
		return nil
	}
	label := "guavapoint stateless reset " + address + "\n"
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte(label), der...)))
	return &key
}
