// Package certs generates a certificate authority and certificates for daemons on the loopback interface. It is for
// tests and examples; a deployment uses its own authority.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Lifetime is the time from the generation of a certificate until it expires.
const Lifetime = 30 * 24 * time.Hour

// backdate is how long before its generation a certificate becomes valid, so that peers whose clocks are slightly
// behind accept it.
const backdate = time.Hour

// File modes. Private keys are readable by their owner only.
const (
	keyMode         = 0o600
	certificateMode = 0o644
	directoryMode   = 0o755
)

// Files are the paths of the PEM files that one daemon needs.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Authority is a certificate authority that signs certificates and writes them to a directory.
type Authority struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority generates an authority and writes its certificate to authority.pem in the directory, which is created
// if needed. The authority's private key is kept in memory only. It returns an error if the certificate can't be
// generated or written.
func NewAuthority(directory string) (*Authority, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate the key of the authority: %w", err)
	}
	template, err := newTemplate("guavapoint test authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	// The template as its own parent makes the certificate self-signed.
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create the certificate of the authority: %w", err)
	}
	a := &Authority{directory: directory, key: key}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, fmt.Errorf("parse the certificate of the authority: %w", err)
	}
	return a, writePEM(a.authorityFile(), "CERTIFICATE", der, certificateMode)
}

// Issue generates a key and a certificate for a daemon on the loopback interface and writes the certificate to NAME.pem
// and the key to NAME-key.pem in the authority's directory. The certificate is for both TLS servers and clients. It
// returns an error if name is not a plain file name, or if the files can't be generated or written.
func (a *Authority) Issue(name string) (Files, error) {
	if name == "" || name[0] == '.' || name != filepath.Base(name) {
		return Files{}, fmt.Errorf("certificate name %q is not a plain file name", name)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, fmt.Errorf("generate the key of %s: %w", name, err)
	}
	template, err := newTemplate(name)
	if err != nil {
		return Files{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.DNSNames = []string{"localhost"}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Files{}, fmt.Errorf("create the certificate of %s: %w", name, err)
	}
	return a.writeFiles(name, der, key)
}

func (a *Authority) writeFiles(name string, der []byte, key *ecdsa.PrivateKey) (Files, error) {
	f := Files{
		Certificate: filepath.Join(a.directory, name+".pem"),
		Key:         filepath.Join(a.directory, name+"-key.pem"),
		Authority:   a.authorityFile(),
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, fmt.Errorf("encode the key of %s: %w", name, err)
	}
	return f, errors.Join(
		writePEM(f.Certificate, "CERTIFICATE", der, certificateMode),
		writePEM(f.Key, "PRIVATE KEY", keyDER, keyMode),
	)
}

func (a *Authority) authorityFile() string { return filepath.Join(a.directory, "authority.pem") }

// serialBits is the size of the random serial numbers. RFC 5280 allows up to 20 octets (160 bits).
const serialBits = 128

// newTemplate returns a certificate with a random serial number, the common name and the validity period.
func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate a serial number for %s: %w", name, err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(Lifetime),
	}, nil
}

func writePEM(file, blockType string, der []byte, mode os.FileMode) error {
	block := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return os.WriteFile(file, block, mode)
}
