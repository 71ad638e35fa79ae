package transport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
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

// serverTLS derives the configuration for accepted connections.
func serverTLS(base *tls.Config) *tls.Config {
	c := base.Clone()
	c.ClientCAs = base.RootCAs
	c.ClientAuth = tls.RequireAndVerifyClientCert
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
