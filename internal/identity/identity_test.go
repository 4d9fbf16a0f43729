package identity

import (
	"context"
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

// workloadAPI is a stand-in for the SPIFFE Workload API: it hands out one trust bundle after another.
type workloadAPI struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	bundles chan []byte
}

func (a *workloadAPI) FetchJWTBundles(_ *workload.JWTBundlesRequest, s grpc.ServerStreamingServer[workload.JWTBundlesResponse]) error {
	for {
		select {
		case b := <-a.bundles:
			if err := s.Send(&workload.JWTBundlesResponse{Bundles: map[string][]byte{"spiffe://branch.example": b}}); err != nil {
				return err
			}
		case <-s.Context().Done():
			return nil
		}
	}
}

func key(t *testing.T) *ecdsa.PrivateKey {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	return k
}

func bundle(t *testing.T, k *ecdsa.PrivateKey) []byte {
	b := jwtbundle.New(spiffeid.RequireTrustDomainFromString("branch.example"))
	require.NoError(t, b.AddJWTAuthority("k1", k.Public()))
	text, err := b.Marshal()
	require.NoError(t, err)
	return text
}

func token(t *testing.T, k *ecdsa.PrivateKey, id, audience string, expires time.Time) string {
	s, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.ES256, Key: jose.JSONWebKey{Key: k, KeyID: "k1"}}, nil)
	require.NoError(t, err)
	text, err := jwt.Signed(s).Claims(jwt.Claims{Subject: id, Audience: jwt.Audience{audience},
		Expiry: jwt.NewNumericDate(expires), IssuedAt: jwt.NewNumericDate(time.Now())}).Serialize()
	require.NoError(t, err)
	return text
}

// TestVerify guards the door: only a token in date, for us, of a listed identity and signed by an authority of the
// bundle now in force opens it, and none does before there is a bundle.
func TestVerify(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	api := &workloadAPI{bundles: make(chan []byte)}
	server := grpc.NewServer()
	workload.RegisterSpiffeWorkloadAPIServer(server, api)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	address := "tcp://" + listener.Addr().String()

	updated := make(chan bool, 9)
	v, err := New(Config{TrustDomain: "branch.example", Audience: "threadglade", WorkloadAPI: address,
		Allowed: []string{"spiffe://branch.example/desk/*", "spiffe://branch.example/ops"}},
		func(string, ...any) { updated <- true })
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	require.NoError(t, v.Watch(ctx, address))

	k, later := key(t), time.Now().Add(time.Hour)
	good := token(t, k, "spiffe://branch.example/desk/7", "threadglade", later)
	_, err = v.Verify(good)
	require.ErrorIs(t, err, ErrNoBundle)
	api.bundles <- bundle(t, k)
	<-updated
	caller, err := v.Verify(good)
	require.NoError(t, err)
	require.Equal(t, "spiffe://branch.example/desk/7", caller.ID)
	require.WithinDuration(t, later, caller.Expires, time.Second)
	_, err = v.Verify(token(t, k, "spiffe://branch.example/ops", "threadglade", later))
	require.NoError(t, err)

	for name, bad := range map[string]string{
		"none":           "",
		"nonsense":       "a.b.c",
		"expired":        token(t, k, "spiffe://branch.example/desk/7", "threadglade", time.Now().Add(-time.Hour)),
		"other audience": token(t, k, "spiffe://branch.example/desk/7", "elsewhere", later),
		"other domain":   token(t, k, "spiffe://other.example/desk/7", "threadglade", later),
		"not listed":     token(t, k, "spiffe://branch.example/door", "threadglade", later),
		"below ops":      token(t, k, "spiffe://branch.example/ops/x", "threadglade", later),
		"other key":      token(t, key(t), "spiffe://branch.example/desk/7", "threadglade", later),
	} {
		_, err := v.Verify(bad)
		require.Error(t, err, name)
	}

	api.bundles <- bundle(t, key(t)) // the authority is replaced
	<-updated
	_, err = v.Verify(good)
	require.Error(t, err)
}

func TestConfig(t *testing.T) {
	good := Config{TrustDomain: "branch.example", Audience: "a", WorkloadAPI: "unix:///run/x.sock",
		Allowed: []string{"spiffe://branch.example/desk/*"}}
	_, err := New(good, nil)
	require.NoError(t, err)
	for field, change := range map[string]func(*Config){
		"trust_domain": func(c *Config) { c.TrustDomain = "A B" },
		"audience":     func(c *Config) { c.Audience = "" },
		"allowed_ids":  func(c *Config) { c.Allowed = []string{"spiffe://other.example/x"} },
		"workload_api": func(c *Config) { c.WorkloadAPI = "/run/x.sock" },
	} {
		bad := good
		change(&bad)
		_, err := New(bad, nil)
		require.ErrorContains(t, err, field)
	}
}
