package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
)

// TLSError reports certificate files that cannot be used.
type TLSError struct {
	File string
	Err  error
}

// Error implements error.
func (e *TLSError) Error() string { return fmt.Sprintf("TLS file %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Err }

// fileOfError returns the file that an error of tls.LoadX509KeyPair is about.
// When the error names no file, as for a key that does not match the
// certificate, this is the certificate.
func fileOfError(t TLS, err error) string {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Path
	}
	return t.Cert
}

// Config loads the files. It returns nil when no certificate is set. With a
// CA, the result requires a certificate of that authority from the other side,
// for connections that are accepted as well as for those that are dialed.
func (t TLS) Config() (*tls.Config, error) {
	if t.Cert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, &TLSError{File: fileOfError(t, err), Err: err}
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
	if t.CA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, &TLSError{File: t.CA, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &TLSError{File: t.CA, Err: errs.Refuse(errs.SettingsInvalid, "no PEM certificate")}
	}
	c.RootCAs, c.ClientCAs = pool, pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}
