package model_test

import (
	"fmt"
	"testing"
	"time"
)

// TestBookingsLoseNothingBesideUploads has callers start uploads at several times the
// rate of all links for five seconds. Bookings, whose route has the higher priority, take
// a few packets each and must be answered as in the calm before, during the burst too.
func TestBookingsLoseNothingBesideUploads(t *testing.T) {
	const burstDuration = 5 * time.Second
	for _, factor := range []float64{2.5, 4, 8} {
		t.Run(fmt.Sprintf("uploads of %v times the rate", factor), func(t *testing.T) {
			t.Parallel()
			end := calmEnd + burstDuration
			until := end + recoveryBound + 4*time.Second
			ns := newNarrowSim(smallDeployment(1, until+upload.Timeout.Duration(), burstOf(upload, factor, calmEnd, burstDuration)))
			ns.run()

			before, during := ns.count(calmStart, calmEnd, booking), ns.count(calmEnd, end, booking)
			t.Logf("bookings before: %v; during the burst: %v; uploads: %v", before, during, ns.count(calmEnd, end, upload))
			if during.inTimeShare() < servedAsBefore*before.inTimeShare() {
				t.Errorf("bookings in time %.4f during the burst, want %.2f of %.4f", during.inTimeShare(), servedAsBefore, before.inTimeShare())
			}
			if during.requests-during.answered > before.requests-before.answered {
				t.Errorf("%d bookings failed during the burst, %d before", during.requests-during.answered, before.requests-before.answered)
			}
			checkServedAsBefore(t, ns, end, until)
			checkOwnMessages(t, ns)
		})
	}
}
