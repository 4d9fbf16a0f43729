package drill

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/standin"
)

// TestLostWhileReleasing guards against second releases that are taken for the consequence of a loss: only the loss of
// the router that sent the release before, at that moment, explains one.
func TestLostWhileReleasing(t *testing.T) {
	d := &drillRun{start: time.Now(), links: map[[2]string]*link{}, faultEvents: []FaultEvent{
		{At: 5 * time.Second, What: "kill r1", Who: []string{"r1"}},
		{At: 8 * time.Second, What: "cut r2 k*", Who: []string{"r2"}},
	}}
	for _, id := range []string{"r1", "r2"} {
		l, err := newLink(1, func() string { return "" })
		require.NoError(t, err)
		defer l.listener.Close()
		d.links[[2]string{"c0", id}] = l
	}
	release := func(id string, at time.Duration) standin.ReceivedRelease {
		return standin.ReceivedRelease{At: d.start.Add(at), Addr: d.links[[2]string{"c0", id}].addr()}
	}
	for name, c := range map[string]struct {
		received []standin.ReceivedRelease
		want     bool
	}{
		"just before the kill":       {[]standin.ReceivedRelease{release("r1", 4950*time.Millisecond)}, true},
		"in transit at the kill":     {[]standin.ReceivedRelease{release("r1", 5020*time.Millisecond)}, true},
		"long before the kill":       {[]standin.ReceivedRelease{release("r1", 4800*time.Millisecond)}, false},
		"another router's":           {[]standin.ReceivedRelease{release("r2", 4950*time.Millisecond)}, false},
		"of a router that is cut":    {[]standin.ReceivedRelease{release("r2", 7950*time.Millisecond)}, false},
		"of an unknown address":      {[]standin.ReceivedRelease{{At: d.start.Add(5 * time.Second), Addr: "x"}}, false},
		"two before, one explained":  {[]standin.ReceivedRelease{release("r1", 5*time.Second), release("r2", 6*time.Second)}, false},
		"two before, both explained": {[]standin.ReceivedRelease{release("r1", 4950*time.Millisecond), release("r1", 5*time.Second)}, true},
	} {
		require.Equal(t, c.want, d.lostWhileReleasing(c.received), name)
	}
}
