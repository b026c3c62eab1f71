package commit_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/coriandershift/coriandershift"
	"github.com/coriandershift/coriandershift/internal/coordination/commit"
	"github.com/coriandershift/coriandershift/internal/state/config"
)

const (
	historyClients = 4
	historyCalls   = 10
	historySeeds   = 40
)

// call is a client's call: it adds the failure domain add, or reads if add is empty.
type call struct{ add string }

// result is the outcome of a call. For a read, domains are the names found, sorted
// and joined.
type result struct {
	revision uint64
	domains  string
	unknown  bool
	refused  bool
}

// model is a configuration to which failure domains are added one by one. Its state
// is their names, separated by spaces.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		domains := strings.Fields(state.(string))
		in, out := input.(call), output.(result)
		added := strings.TrimSpace(state.(string) + " " + in.add)
		switch {
		case in.add == "" && int(out.revision) == len(domains) && out.domains == joinSorted(domains):
			return []any{state}
		case in.add == "":
			return nil
		case out.refused:
			return []any{state}
		case out.unknown:
			return []any{state, added}
		case int(out.revision) == len(domains)+1:
			return []any{added}
		}
		return nil
	},
}

// TestHistoriesAreLinearizable lets clients change and read the configuration
// concurrently while the store delays, fails and loses answers. A checker must find
// an order of all calls that explains every result.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				history := recordHistory(seed)
				if !porcupine.CheckOperations(model.ToModel(), history) {
					t.Errorf("no order explains the history:\n%s", describe(history))
				}
			})
		})
	}
}

func recordHistory(seed uint64) []porcupine.Operation {
	store := newStore()
	store.unreliable(seed)

	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	for client := range historyClients {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		clients.Go(func() {
			c := commit.New(store)
			for i := range historyCalls {
				time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
				in := call{}
				if random.IntN(2) == 0 {
					in.add = fmt.Sprintf("d%d", client*historyCalls+i+1)
				}
				operation, ok := perform(c, client, in)
				if !ok {
					continue
				}
				mu.Lock()
				history = append(history, operation)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return history
}

// perform makes one call. It returns false for a read that failed, which says nothing
// about the configuration.
func perform(c *commit.Committer, client int, in call) (porcupine.Operation, bool) {
	operation := porcupine.Operation{ClientId: client, Input: in, Call: time.Now().UnixNano()}
	var out result
	if in.add == "" {
		snapshot, err := c.Load(context.Background())
		if err != nil {
			return operation, false
		}
		out = result{revision: snapshot.Config.Revision, domains: joinSorted(domainNames(snapshot.Config))}
	} else {
		var number uint8
		fmt.Sscanf(in.add, "d%d", &number)
		revision, err := c.Commit(context.Background(), putDomain(in.add, in.add, number, 0))
		out = result{revision: revision, unknown: errors.Is(err, commit.ErrUndecided), refused: err != nil && !errors.Is(err, commit.ErrUndecided)}
	}

	operation.Output = out
	operation.Return = time.Now().UnixNano()
	if out.unknown {
		operation.Return = math.MaxInt64 // it may take effect at any later time
	}
	return operation, true
}

// unreliable makes the store delay, fail and lose answers at random from a seed.
func (s *memoryStore) unreliable(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 99))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	s.before = func(string) error {
		time.Sleep(time.Duration(draw(1000)) * time.Microsecond)
		if draw(8) == 0 {
			return coriandershift.ErrUnknownOutcome // the request is lost
		}
		return nil
	}
	s.loseAnswer = func(string) bool { return draw(6) == 0 }
}

func describe(history []porcupine.Operation) string {
	var text strings.Builder
	for _, o := range history {
		fmt.Fprintf(&text, "%d %d..%d %+v %+v\n", o.ClientId, o.Call, o.Return, o.Input, o.Output)
	}
	return text.String()
}

func domainNames(cfg *config.Config) []string {
	var list []string
	for _, d := range cfg.Domains {
		list = append(list, d.Name)
	}
	return list
}

func joinSorted(domains []string) string {
	domains = slices.Clone(domains)
	slices.Sort(domains)
	return strings.Join(domains, " ")
}
