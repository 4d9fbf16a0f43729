// Package identitytest provides a fake SPIFFE Workload API and an authority that signs tokens. It must only be
// imported by tests.
package identitytest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"net"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"
	"github.com/spiffe/go-spiffe/v2/bundle/jwtbundle"
	"github.com/spiffe/go-spiffe/v2/proto/spiffe/workload"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
)

// Domain is the trust domain of all bundles and tokens.
const Domain = "branch.example"

// WorkloadAPI is a fake Workload API that sends each trust bundle put into Bundles to a watching client.
type WorkloadAPI struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	Bundles chan []byte
	Address string // for workloadapi.WithAddr
}

// New starts a fake Workload API on loopback, which stops when the test ends.
func New(t *testing.T) *WorkloadAPI {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := &WorkloadAPI{Bundles: make(chan []byte), Address: "tcp://" + listener.Addr().String()}
	server := grpc.NewServer()
	workload.RegisterSpiffeWorkloadAPIServer(server, a)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return a
}

// FetchJWTBundles implements the Workload API: it streams the bundles as they are put into Bundles.
func (a *WorkloadAPI) FetchJWTBundles(_ *workload.JWTBundlesRequest,
	s grpc.ServerStreamingServer[workload.JWTBundlesResponse]) error {
	for {
		select {
		case b := <-a.Bundles:
			if err := s.Send(&workload.JWTBundlesResponse{
				Bundles: map[string][]byte{"spiffe://" + Domain: b}}); err != nil {
				return err
			}
		case <-s.Context().Done():
			return nil
		}
	}
}

// Key generates the key of an authority.
func Key(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return k
}

// Bundle returns the encoded trust bundle of an authority.
func Bundle(t *testing.T, k *ecdsa.PrivateKey) []byte {
	b := jwtbundle.New(spiffeid.RequireTrustDomainFromString(Domain))
	require.NoError(t, b.AddJWTAuthority("k1", k.Public()))
	text, err := b.Marshal()
	require.NoError(t, err)
	return text
}

// Token returns a JWT-SVID signed by the key.
func Token(t *testing.T, k *ecdsa.PrivateKey, id, audience string, expires time.Time) string {
	s, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.ES256, Key: jose.JSONWebKey{Key: k, KeyID: "k1"}}, nil)
	require.NoError(t, err)
	text, err := jwt.Signed(s).Claims(jwt.Claims{Subject: id, Audience: jwt.Audience{audience},
		Expiry: jwt.NewNumericDate(expires), IssuedAt: jwt.NewNumericDate(time.Now())}).Serialize()
	require.NoError(t, err)
	return text
}
