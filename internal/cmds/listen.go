package cmds

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/conf"
	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
)

// refusedLogInterval is the shortest time between two log lines about refused connections of one listener.
const refusedLogInterval = 10 * time.Second

// limitedListener bounds the number of open connections of a listener. A connection beyond the bound is accepted and closed
// at once instead of waiting in the backlog, so that a client can try its next address without delay.
type limitedListener struct {
	net.Listener
	name      string
	maxOpen   int64
	openConns atomic.Int64
	log       *logs.Logger
}

// limitListener returns a listener that wraps l and keeps at most maxOpen connections open. Log lines about refused connections
// contain name.
func limitListener(l net.Listener, name string, maxOpen int, log *logs.Logger) net.Listener {
	return &limitedListener{Listener: l, name: name, maxOpen: int64(maxOpen), log: log}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.maxOpen {
			return &limitedConn{Conn: c, listener: l}, nil
		}
		l.openConns.Add(-1)
		_ = c.Close()
		l.log.Every("refused "+l.name, refusedLogInterval).Warn("connection refused: limit of open connections reached", "listener", l.name, "limit", l.maxOpen)
	}
}

// limitedConn is a connection that its listener counts as open until the connection is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once // ensures that a second Close doesn't lower the count of open connections again
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.openConns.Add(-1) })
	return c.Conn.Close()
}

// peerTLS returns the TLS configuration for both ends of the connections between entry processes. Each end requires a
// certificate that the configured authority has signed. The dialing end also requires that the certificate contains the
// IP address of the peer.
func peerTLS(files conf.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(files.PeerCert, files.PeerKey)
	if err != nil {
		return nil, fmt.Errorf("[tls] peer_cert and peer_key: %w", err)
	}
	caPEM, err := os.ReadFile(files.PeerCA)
	if err != nil {
		return nil, fmt.Errorf("[tls] peer_ca: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(caPEM) {
		return nil, errors.New("[tls] peer_ca: expected at least one certificate in PEM form")
	}
	return &tls.Config{
		// Both ends are entry processes of this program, so no older version has to be supported.
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// WebSocket upgrades need HTTP/1.1.
		NextProtos: []string{"http/1.1"},
	}, nil
}

// peerTransport returns the HTTP transport for outgoing connections to peers.
func peerTransport(cfg *tls.Config) *http.Transport {
	return &http.Transport{TLSClientConfig: cfg.Clone(), TLSHandshakeTimeout: time.Second}
}
