package owner_test

import (
	"testing"
	"time"

	"github.com/coriandershift/coriandershift/internal/coordination/owner"
	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/flow"
)

// A process that had been paused acted on a permission that had run out meanwhile: an agent
// opened the flows that waited in its socket although operators had taken its failure domain
// out during the pause. Nor is an opening packet passed on, which may be seconds late: an
// agent that was restarted took it for a new flow and hid the open one (review, case 4).
func TestNoFlowIsOpenedJustAfterAPause(t *testing.T) {
	o := newServingOwner()
	o.RecordRunning(start)
	if kind, _ := firstAction(o.HandleBalancerPacket(start.Add(time.Second), envelope(), opening(1))); kind != owner.Deliver {
		t.Fatalf("without a pause: got %v", kind)
	}

	resumed := start.Add(10 * time.Second)
	kind, reason := firstAction(o.HandleBalancerPacket(resumed, envelope(), opening(2)))
	if kind != owner.Drop || reason != owner.Resuming {
		t.Errorf("right after a pause: got %v for %q", kind, reason)
	}
	kind, reason = firstAction(o.HandleBalancerPacket(resumed, envelope(endpoint(11)), opening(3)))
	if kind != owner.Drop || reason != owner.Resuming {
		t.Errorf("right after a pause, with another agent: got %v for %q", kind, reason)
	}

	o.RecordRunning(resumed.Add(time.Millisecond))
	o.HandleAnnouncement(resumed.Add(2*time.Millisecond), announcement(func(a *flow.Announcement) { a.Sequence = 2 }))
	later := resumed.Add(400 * time.Millisecond)
	if kind, _ := firstAction(o.HandleBalancerPacket(later, envelope(), opening(4))); kind != owner.Deliver {
		t.Errorf("a moment later: got %v", kind)
	}
	o.Configure(later, newConfig(2, func(c *config.Config) { c.Domains = []config.Domain{{Name: "a", Out: true}} }))
	if _, reason := firstAction(o.HandleBalancerPacket(later, envelope(), opening(5))); reason != owner.DomainOut {
		t.Errorf("with the failure domain out: got %q", reason)
	}
}

func TestWaitingFlowsStayClosedJustAfterAPause(t *testing.T) {
	o := newFullOwner(t)
	o.HandleBalancerPacket(start, envelope(), opening(9))
	o.RecordRunning(start)
	resumed := start.Add(10 * time.Second)
	for port := uint16(1); port <= 3; port++ {
		for _, a := range o.HandleUpstreamPacket(resumed, responseData(port)) {
			if a.Kind == owner.Deliver {
				t.Errorf("flow %v was opened", a.Key)
			}
		}
	}
}
