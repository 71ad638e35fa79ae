package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"testing"
)

// Guards against certificates that can't be verified for a loopback address, and against names that lead to files
// outside the directory.
func TestIssue(t *testing.T) {
	a, err := NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	f, err := a.Issue("one")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		t.Fatal(err)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(pem)
	if _, err := pair.Leaf.Verify(x509.VerifyOptions{Roots: roots, DNSName: "127.0.0.1"}); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"", "..", "a/b"} {
		if _, err := a.Issue(name); err == nil {
			t.Errorf("name %q was accepted", name)
		}
	}
}
