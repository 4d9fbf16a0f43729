package ledgerio

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/ledger"
)

// writeCalls writes calls of three entries each to a journal, ten calls per append, and checks the result. It
// returns how long the appends took and the size of the journal in bytes.
func writeCalls(b *testing.B, dir string, calls int, maxSegmentBytes int64) (elapsed time.Duration, bytes int64) {
	state := ledger.NewInitializedState(ledger.Settings{Router: "n0", Length: 60_000, Grace: 1000, UnknownTimeout: 60_000})
	log, err := durable.ContinueLog(journalConfig(durable.OS{}, dir, maxSegmentBytes, state), durable.Scan{})
	require.NoError(b, err)
	entries := []ledger.Entry{
		{Kind: ledger.KindName, Index: 1, Text: "lda"},
		{Kind: ledger.KindName, Index: 2, Text: "voice"},
		{Kind: ledger.KindName, Index: 3, Text: "s0"},
	}
	at, start := int64(1_700_000_000_000), time.Now()
	for i := range calls {
		at += int64(i & 1)
		call := uint64(i)*0x9e3779b97f4a7c15 + 1
		usage := ledger.Usage{
			ledger.Offered:           1,
			ledger.EstablishedInTime: 1,
			ledger.Concluded:         1,
			ledger.HeldMs:            7000,
			ledger.WorthMilli:        1000,
		}
		entries = append(entries, ledger.Entry{Kind: ledger.KindAttempt, At: at, Call: call, Tenant: 1, Class: 2, Server: 3},
			ledger.Entry{Kind: ledger.KindAnswer, At: at, Call: call, InTime: true},
			ledger.Entry{Kind: ledger.KindEnd, At: at, Call: call, Tenant: 1, Class: 2, Usage: usage})
		if i%10 == 9 {
			require.NoError(b, log.Append(packEntries(frameEntries, entries)...))
			for j := range entries {
				state.Apply(&entries[j])
			}
			entries = entries[:0]
		}
	}
	elapsed = time.Since(start)
	require.NoError(b, log.Close())
	view, err := Inspect(durable.OS{}, dir)
	require.NoError(b, err)
	return elapsed, view.Bytes
}

// BenchmarkRecords appends a million entries, reads and checks them all, and recovers the state as a router does at
// start.
func BenchmarkRecords(b *testing.B) {
	const calls = 333_340
	for _, maxSegmentBytes := range []int64{1 << 30, 16 << 20} {
		b.Run(fmt.Sprintf("segments of %d MB", maxSegmentBytes>>20), func(b *testing.B) {
			for b.Loop() {
				dir := b.TempDir()
				elapsed, bytes := writeCalls(b, dir, calls, maxSegmentBytes)
				start := time.Now()
				view, err := Inspect(durable.OS{}, dir)
				require.NoError(b, err)
				read := time.Since(start)
				start = time.Now()
				state, _, err := Recover(durable.OS{}, dir)
				require.NoError(b, err)
				require.Empty(b, state.Calls)
				b.ReportMetric(time.Since(start).Seconds(), "s-recovery")
				b.ReportMetric(float64(view.State.Entries)/elapsed.Seconds(), "appended/s")
				b.ReportMetric(float64(view.State.Entries)/read.Seconds(), "checked/s")
				b.ReportMetric(float64(bytes)/calls, "bytes/call")
			}
		})
	}
}
