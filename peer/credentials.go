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

// certificateAge is how long a certificate that was read from its files is used
// before the files are looked at again.
const certificateAge = time.Minute

// Credentials secure the peer port and the connections to peers.
type Credentials struct {
	Server, Client credentials.TransportCredentials
}

// LoadCredentials reads certificate, key and the authority that signs the
// certificates of all peers, each a PEM file. Both sides of a connection must
// have a certificate of the authority. Names in certificates do not matter:
// hosts are replaced under new addresses, and holding a certificate of this
// authority is what makes a peer. A renewed certificate is taken up from its
// files; a new authority needs a restart.
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
		// The chain is verified below; only the check of the name is left out.
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return verifyServer(pool, cs) },
	}
	return &Credentials{Server: credentials.NewTLS(server), Client: credentials.NewTLS(client)}, nil
}

// verifyServer checks that a server's certificate is one of the authority.
func verifyServer(pool *x509.CertPool, cs tls.ConnectionState) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("the peer has no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// keyPair is a certificate with its key, read again from its files at times.
type keyPair struct {
	certificate, key string

	mu   sync.Mutex
	pair *tls.Certificate
	read time.Time
}

func (k *keyPair) get() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pair != nil && time.Since(k.read) < certificateAge {
		return k.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		if k.pair != nil {
			// The files are being replaced; the old pair serves on.
			return k.pair, nil
		}
		return nil, err
	}
	k.pair, k.read = &pair, time.Now()
	return k.pair, nil
}
