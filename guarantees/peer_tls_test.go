package guarantees

import (
	"crypto/tls"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/peer"
	"jaylink/peer/peerpb"
)

// The peer port accepts only clients with a certificate of the peers' certificate
// authority.
func TestPeerPortLetsInOnlyPeers(t *testing.T) {
	f := testfleet.New(t)
	authority, other := testfleet.NewAuthority(t), testfleet.NewAuthority(t)
	one := f.StartEntry("one", "a", "r", authority.Settings("one"))
	two := f.StartEntry("two", "b", "r", authority.Settings("two"))
	f.Ready()
	for _, e := range []*testfleet.Entry{one, two} {
		require.NoError(t, procs.Await("the peer of "+e.Name, func() bool {
			s, err := e.Client().Status(t.Context())
			return err == nil && len(s.Peers) == 1
		}))
	}
	load := func(a *testfleet.Authority) credentials.TransportCredentials {
		certificate, key := a.Issue("stranger")
		c, err := peer.LoadCredentials(certificate, key, a.File)
		require.NoError(t, err)
		return c.Client
	}
	withoutCertificate := credentials.NewTLS(&tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	forged := func() credentials.TransportCredentials {
		// Presents a certificate of another authority and does not verify the
		// server.
		certificate, key := other.Issue("forged")
		pair, err := tls.LoadX509KeyPair(certificate, key)
		require.NoError(t, err)
		return credentials.NewTLS(&tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}})
	}
	cases := []struct {
		name  string
		creds credentials.TransportCredentials
		code  codes.Code
	}{
		{"a peer", load(authority), codes.OK},
		{"a client without a certificate", withoutCertificate, codes.Unavailable},
		{"a certificate of another authority", forged(), codes.Unavailable},
		{"a client that trusts another authority", load(other), codes.Unavailable},
		{"plaintext", insecure.NewCredentials(), codes.Unavailable},
	}
	violations := 0
	for _, c := range cases {
		conn, err := grpc.NewClient(one.Peer, grpc.WithTransportCredentials(c.creds))
		require.NoError(t, err)
		_, err = peerpb.NewPeerClient(conn).Pull(t.Context(), &peerpb.PullRequest{})
		if status.Code(err) != c.code {
			t.Errorf("%s: %v, want %v", c.name, err, c.code)
			violations++
		}
		require.NoError(t, conn.Close())
	}
	testfleet.Report(t, testfleet.Guarantee{Number: 0, Fault: "strangers_on_the_peer_port", Cases: len(cases), Violations: violations})
}
