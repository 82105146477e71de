package testfleet

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
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Authority is a certificate authority that issues certificates to entries.
type Authority struct {
	t    testing.TB
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// File is the path of the authority's certificate.
	File string
}

// NewAuthority creates an authority whose files are in a directory of their own.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	a.cert = template("authority")
	a.cert.IsCA, a.cert.BasicConstraintsValid = true, true
	a.cert.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.File = a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	return key
}

func (a *Authority) write(name, kind string, der []byte) string {
	file := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// Issue creates a certificate and a key and returns the paths of their files.
func (a *Authority) Issue(name string) (certificate, key string) {
	a.t.Helper()
	k := a.newKey()
	der, err := x509.CreateCertificate(rand.Reader, template(name), a.cert, &k.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(k)
	require.NoError(a.t, err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "EC PRIVATE KEY", keyDER)
}

// Settings issues a certificate and returns the peer_tls settings that use it.
func (a *Authority) Settings(name string) string {
	a.t.Helper()
	certificate, key := a.Issue(name)
	return fmt.Sprintf("peer_tls: {certificate: %s, key: %s, authority: %s}\n", certificate, key, a.File)
}
