package scenario

import (
	"testing"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/ledgerio"
	"threadglade.example/threadglade/ledger"
)

// TestLedgerDisk checks that a set-up is sent once its intent is written. While the disk is slow or full, the
// first one is sent after a timeout and later ones at once, or refused, depending on a setting.
func TestLedgerDisk(t *testing.T) {
	const begin = "s0 open number=0\ns1 open number=1\n"
	runScenarios(t, map[string]string{
		"slow": begin + `start ledger
			a open
			a send INVITE c1
			s0 expect INVITE c1
			disk slow
			a send INVITE c2
			s0 none
			wait 15ms
			s0 none
			wait 30ms
			s0 expect INVITE c2
			log "the disk does not keep up; calls go on without"
			a send INVITE c3
			s0 expect INVITE c3
			s0 send 200 INVITE c3 Body=x
			a expect 200 INVITE c3 Body=x
			s0 send BYE c3 Reason=Q.850;cause=16
			a expect BYE c3
			disk ok
			log "the disk has caught up"`,
		"full": begin + `start ledger
			a open
			a send INVITE c1
			s0 expect INVITE c1
			disk full
			a send INVITE c2
			s0 expect INVITE c2
			log "calls go on without"
			a send INVITE c3
			s0 expect INVITE c3
			disk ok
			log "the disk has caught up"`,
		"refuse": begin + `start ledger refuse
			a open
			disk slow
			a send INVITE c1
			log "calls are refused"
			s0 expect INVITE c1
			a send INVITE c2
			a expect 503 INVITE c2 Come-Back-Ms=1000
			s0 none
			disk ok
			log "the disk has caught up"
			a send INVITE c3
			s0 expect INVITE c3`,
	})
}

// TestLedgerTenants checks that a call counts for the tenant of its session's identity, or else of its caller's
// network.
func TestLedgerTenants(t *testing.T) {
	w := runScenario(t, `s0 open number=0
		start callcontrol ledger
		w1 open id=desk7
		w1 send {"jsonrpc":"2.0","id":1,"method":"call.place","params":{"class":"voice","number":"4711","destination":0,"answerWithinMs":2000}}
		s0 expect INVITE
		a open
		a send INVITE c2
		s0 expect INVITE c2
		a send CANCEL c2
		a expect 487 INVITE c2`)
	require.NoError(t, w.execute("wait 300ms"))
	v, err := ledgerio.Inspect(w.disk, "ledger")
	require.NoError(t, err)
	require.Len(t, v.State.Calls, 1)
	for _, c := range v.State.Calls {
		require.Equal(t, "lda", v.State.Name(c.Tenant))
	}
	require.Equal(t, ledger.Usage{ledger.Offered: 1, ledger.Abandoned: 1, ledger.Cancelled: 1},
		*v.Pending[0].Totals[ledger.Key{Tenant: "kda", Class: "voice"}])
}
