package scen

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Traffic is a set of callers that follow the caller protocol: a caller uses only addresses from an address list that hasn't
// expired, and sends an order up to 4 times with the same token until the outcome of the order is known.
type Traffic struct {
	Simulation *Simulation
	Service    string
	Callers    int
	MeanPause  time.Duration // mean pause of a caller between two requests
	Orders     bool          // every fourth request is an order
	Seed       uint64

	stop chan struct{}
	wg   sync.WaitGroup
}

// Start starts the callers and returns the function that stops them and waits until they have ended.
func (t *Traffic) Start() (stop func()) {
	t.stop = make(chan struct{})
	for i := range t.Callers {
		c := &caller{traffic: t, rnd: rand.New(rand.NewPCG(t.Seed, uint64(i)))}
		t.wg.Go(c.run)
	}
	return func() {
		close(t.stop)
		t.wg.Wait()
	}
}

// caller is one simulated caller.
type caller struct {
	traffic *Traffic
	rnd     *rand.Rand
	vmIDs   []string  // ids of the VMs in the newest address list
	expires time.Time // of the address list
}

// run sends requests until the traffic is stopped.
func (c *caller) run() {
	t := c.traffic
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(t.MeanPause/2 + time.Duration(c.rnd.Int64N(int64(t.MeanPause)))):
		}
		entry, ok := c.entryVM()
		switch {
		case !ok:
		case t.Orders && n%4 == 3:
			c.sendOrder(entry)
		default:
			classes := []string{"counter", "inspector"}
			t.Simulation.Query(entry, classes[n%2], t.Service, "mats of "+entry)
		}
	}
}

// entryVM returns the id of a random VM of the address list. If the list has expired, entryVM requests a new one from the
// entry processes in random order; it returns false if none of them answers with a list.
func (c *caller) entryVM() (string, bool) {
	sim := c.traffic.Simulation
	if time.Now().Before(c.expires) && len(c.vmIDs) > 0 {
		return c.vmIDs[c.rnd.IntN(len(c.vmIDs))], true
	}
	requestedAt := time.Now()
	vms := sim.Fleet.VMs
	for _, i := range c.rnd.Perm(len(vms)) {
		list, err := sim.Addresses(vms[i].ID)
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		c.vmIDs = c.listedVMs(list)
		c.expires = requestedAt.Add(time.Duration(list.ValidForMS) * time.Millisecond)
		return c.vmIDs[c.rnd.IntN(len(c.vmIDs))], true
	}
	return "", false
}

// listedVMs returns the ids of the VMs whose addresses are in the list.
func (c *caller) listedVMs(list wire.Addresses) []string {
	var out []string
	for _, a := range list.Addresses {
		for _, vm := range c.traffic.Simulation.Fleet.VMs {
			if vm.Addr == a.Addr {
				out = append(out, vm.ID)
			}
		}
	}
	return out
}

// sendOrder sends one order, up to 4 times with the same token while the outcome of the order is unknown. It sends each
// repetition to the same or to a random entry process of the address list.
func (c *caller) sendOrder(entry string) {
	sim := c.traffic.Simulation
	tok, err := sim.Token(entry)
	if err != nil {
		return
	}
	for range 4 {
		call := sim.Order(entry, tok.Token, "order", c.traffic.Service, tok.Token)
		if call.Err == nil && call.Status.Ran != codes.Unknown {
			return
		}
		if next, ok := c.entryVM(); ok && c.rnd.IntN(2) == 0 {
			entry = next
		}
	}
}
