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

// refusedLogInterval is the interval of the log line about refused connections.
const refusedLogInterval = 10 * time.Second

// limitedListener bounds the open connections of a listener. A connection beyond the bound is closed at once instead of
// waiting in the backlog, so that a caller tries its next address without losing time.
type limitedListener struct {
	net.Listener
	name      string
	maxOpen   int64
	openConns atomic.Int64
	log       *logs.Logger
}

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
		l.log.Every("refused "+l.name, refusedLogInterval).Warn("connection refused: the limit is reached", "listener", l.name, "limit", l.maxOpen)
	}
}

type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.openConns.Add(-1) })
	return c.Conn.Close()
}

// peerTLS returns the TLS settings of both ends of the links between entry processes. Each end demands a
// certificate of the same authority. The end that dials also demands that the certificate names the peer's IP number.
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
		// All entry processes are of this project, so no older version is needed.
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// WebSocket upgrades need HTTP/1.1.
		NextProtos: []string{"http/1.1"},
	}, nil
}

// peerTransport returns the transport of outgoing links.
func peerTransport(cfg *tls.Config) *http.Transport {
	return &http.Transport{TLSClientConfig: cfg.Clone(), TLSHandshakeTimeout: time.Second}
}
