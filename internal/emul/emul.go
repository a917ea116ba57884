// Package emul provides stand-ins for everything outside the system: targets, the platform (the service that publishes the
// configuration), and an in-memory network. It also generates the lists of entry VMs and services that the platform
// publishes. Tests run the stand-ins inside testing/synctest; cmd/emulate runs them as processes.
//
// # Usage
//
//	nw, closeNetwork := emul.NewNetwork()
//	defer closeNetwork()
//	fleet := emul.HeadOffice().Build()
//	running, stop, err := fleet.Start(nw.Listen, func(t *emul.Target) { t.Mode = emul.ModeCollapse })
//	defer stop()
//	running.Targets["counter-desk-01-t1"].StartColdIncarnation()
//	dial := nw.Dialer("entry-01") // for http.Transport.DialContext
//	nw.Link("entry-01", addr).DropBytes(false)
//	...
//	assert.Equal(t, len(running.Targets["counter-desk-01-t1"].Overloads()), 0)
//
// The log of a Target (Runs, Overloads, PeakInFlight, PeakConns, OrdersByToken) records what the target executed, whatever
// its clients saw, so tests compare their expectations with this log. The package keeps no global state. Every function that
// starts goroutines returns a clean-up function, and none of these goroutines outlives the call of the clean-up function.
// Inside a synctest bubble, close idle client connections first, then call the clean-up functions in reverse order.
package emul

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// ListenFunc opens a listener. Network.Listen and Loopback are of this type.
type ListenFunc func(addr netip.AddrPort) (net.Listener, error)

// Loopback listens on a free TCP port of 127.0.0.1 and ignores the requested address.
func Loopback(netip.AddrPort) (net.Listener, error) {
	return net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// serve runs an HTTP server on l until the returned function is called. The returned function closes all connections and
// waits for the goroutine of the server.
func serve(srv *http.Server, l net.Listener) func() {
	var done sync.WaitGroup
	done.Go(func() { _ = srv.Serve(l) })
	return func() {
		_ = srv.Close()
		done.Wait()
	}
}

// writeJSON sends the body as JSON with the given status.
func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// sleep waits for d or until done is closed, and reports whether d passed.
func sleep(d time.Duration, done <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
