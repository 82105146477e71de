package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
)

// certificateMaxAge is how long a certificate is used before it is read from its files
// again.
const certificateMaxAge = time.Minute

// Credentials contains the TLS credentials for the peer port and for connections to
// peers.
type Credentials struct {
	Server, Client credentials.TransportCredentials
}

// LoadCredentials reads the certificate and key of this entry, and the certificate of
// the authority that signs the certificates of all peers, each from a PEM file. Both
// sides of a connection must present a certificate signed by the authority. The names
// in certificates are not checked: hosts are replaced by others with new addresses,
// and any holder of a certificate of this authority counts as a peer. The files of
// certificate and key are read again periodically, so renewing them needs no restart;
// replacing the authority does.
func LoadCredentials(certificate, key, authority string) (*Credentials, error) {
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s has no certificate in PEM form", authority)
	}
	pair := &keyPair{certificate: certificate, key: key}
	if _, err := pair.get(); err != nil {
		return nil, err
	}
	server := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.get() },
	}
	client := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.get() },
		// VerifyConnection verifies the certificate chain. Only the check of
		// the host name is skipped.
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return verifyServer(pool, cs) },
	}
	return &Credentials{Server: credentials.NewTLS(server), Client: credentials.NewTLS(client)}, nil
}

// verifyServer checks that a server's certificate was signed by an authority in pool.
func verifyServer(pool *x509.CertPool, cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// keyPair is a certificate and its key. It is read from its files again after
// certificateMaxAge.
type keyPair struct {
	certificate, key string

	mu   sync.Mutex
	pair *tls.Certificate
	read time.Time // when pair was read
}

// get returns the certificate and key. If the files can't be read, it returns the last
// ones that were read.
func (k *keyPair) get() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pair != nil && time.Since(k.read) < certificateMaxAge {
		return k.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		if k.pair != nil {
			// The files may be in the course of being replaced, so keep
			// using the old pair.
			return k.pair, nil
		}
		return nil, err
	}
	k.pair, k.read = &pair, time.Now()
	return k.pair, nil
}
