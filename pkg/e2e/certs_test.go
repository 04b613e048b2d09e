package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority issues certificates for one test.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// file holds the authority's own certificate.
	file string
	next int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir(), next: 1}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := a.template("test authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	a.key = key
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.file = a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) template(name string) *x509.Certificate {
	a.next++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.next),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *authority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// issue writes a certificate for loopback and its key.
func (a *authority) issue(name string) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	der, err := x509.CreateCertificate(rand.Reader, a.template(name), a.cert, private.Public(), a.key)
	assert.NilError(a.t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(a.t, err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+"-key.pem", "PRIVATE KEY", encoded)
}

// client returns the settings of a client that trusts the authority and shows
// a certificate if it has one.
func (a *authority) client(certs ...tls.Certificate) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{RootCAs: pool, ServerName: "127.0.0.1", Certificates: certs}
}
