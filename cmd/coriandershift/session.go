package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/coriandershift/coriandershift/internal/state/config"
	"github.com/coriandershift/coriandershift/internal/state/setup"
	"github.com/coriandershift/coriandershift/internal/transport/admin"
)

const pollInterval = 100 * time.Millisecond

// connectionOptions are the options of every command; they say which balancer to call and how.
type connectionOptions struct {
	Balancer  netip.AddrPort `arg:"--balancer,required,env:CORIANDERSHIFT_BALANCER" help:"admin address of any balancer"`
	Cert      string         `arg:"--cert,required,env:CORIANDERSHIFT_CERT" help:"operator's certificate"`
	Key       string         `arg:"--key,required,env:CORIANDERSHIFT_KEY" help:"key of the certificate"`
	Authority string         `arg:"--authority,required,env:CORIANDERSHIFT_AUTHORITY" help:"certificate of the authority"`
	Timeout   time.Duration  `arg:"--timeout" default:"10s" help:"how long to wait for answers"`
}

// changeOptions are the options of every command that changes something.
type changeOptions struct {
	Base   uint64 `arg:"--base" help:"refuse unless this revision is in force; 0 for any"`
	ID     string `arg:"--id" help:"ID of the change; sending it again with the same ID does not apply it twice"`
	Force  bool   `arg:"--force" help:"apply the change even if it would cause an outage"`
	DryRun bool   `arg:"--dry-run" help:"only check the change against the configuration in force"`
	Wait   bool   `arg:"--wait" help:"wait until the change is in force everywhere"`
}

var errNotEverywhere = errors.New("change is accepted but not yet in force everywhere")

func (c *connectionOptions) client() (*admin.Client, error) {
	peerTLS, err := admin.MutualTLS(setup.Certificate{CertFile: c.Cert, KeyFile: c.Key, AuthorityFile: c.Authority})
	if err != nil {
		return nil, err
	}
	return admin.NewClient(peerTLS), nil
}

func (c *connectionOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), c.Timeout)
}

// change sends operations as one change and prints the outcome.
func (c *connectionOptions) change(o changeOptions, operations []config.Operation) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()

	change := config.Change{ID: o.ID, BaseRevision: o.Base, Force: o.Force, Operations: operations}
	if change.ID == "" {
		change.ID = newID()
	}

	if o.DryRun {
		return c.dryRun(ctx, client, change)
	}

	revision, err := client.Change(ctx, c.Balancer, change)
	if err != nil {
		return errors.WithMessagef(err, "change %s", change.ID)
	}
	fmt.Printf("accepted id=%s revision=%d\n", change.ID, revision)
	if o.Wait {
		return c.wait(ctx, client, revision)
	}
	return nil
}

func (c *connectionOptions) dryRun(ctx context.Context, client *admin.Client, change config.Change) error {
	current, err := client.Config(ctx, c.Balancer)
	if err != nil {
		return err
	}
	if _, err := current.Apply(change); err != nil {
		return err
	}
	fmt.Printf("would be accepted on revision=%d\n", current.Revision)
	return nil
}

// wait returns once a revision is in force at every member that is not dead, or
// errNotEverywhere if ctx ends first.
func (c *connectionOptions) wait(ctx context.Context, client *admin.Client, revision uint64) error {
	var late []admin.MemberStatus
	for ctx.Err() == nil {
		members, err := client.Members(ctx, c.Balancer)
		if err == nil {
			late = lagging(members, revision)
			if len(late) == 0 {
				fmt.Printf("in force everywhere revision=%d members=%d\n", revision, len(members))
				return nil
			}
		}
		time.Sleep(pollInterval)
	}

	for _, m := range late {
		fmt.Fprintf(os.Stderr, "not yet in force at %s name=%s revision=%d\n", m.Address, m.Name, m.Revision)
	}
	return errNotEverywhere
}

func lagging(members []admin.MemberStatus, revision uint64) []admin.MemberStatus {
	var late []admin.MemberStatus
	for _, m := range members {
		if m.State != "dead" && m.Revision < revision {
			late = append(late, m)
		}
	}
	return late
}

func newID() string {
	id := make([]byte, 16)
	_, _ = rand.Read(id) // never fails
	return hex.EncodeToString(id)
}
