package cmds

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/conf"
	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
)

// writeCertificates creates a certificate authority and a certificate for ip that it has signed, and writes both to files.
func writeCertificates(t *testing.T, ip string) conf.TLS {
	t.Helper()
	template := func(serial int64, ca bool) *x509.Certificate {
		return &x509.Certificate{
			SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: fmt.Sprint("test ", serial)}, NotAfter: time.Now().Add(time.Hour),
			IsCA: ca, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
			IPAddresses: []net.IP{net.ParseIP(ip)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	rootDER, err := x509.CreateCertificate(rand.Reader, template(1, true), template(1, true), key.Public(), key)
	assert.NilError(t, err)
	leafDER, err := x509.CreateCertificate(rand.Reader, template(2, false), template(1, true), key.Public(), key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	return conf.TLS{PeerCert: write("crt", "CERTIFICATE", leafDER), PeerKey: write("key", "PRIVATE KEY", keyDER), PeerCA: write("ca", "CERTIFICATE", rootDER)}
}

// TestPeerTLS guards against a connection between entry processes on which one end doesn't verify the other.
func TestPeerTLS(t *testing.T) {
	serverFiles := writeCertificates(t, "127.0.0.1")
	server, err := peerTLS(serverFiles)
	assert.NilError(t, err)
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("x")) // runs the handshake
			_ = conn.Close()
		}
	}()
	otherAuthority, err := peerTLS(writeCertificates(t, "127.0.0.1"))
	assert.NilError(t, err)
	otherIPFiles := writeCertificates(t, "127.0.0.2")
	otherIP, err := peerTLS(otherIPFiles)
	assert.NilError(t, err)
	otherIP.RootCAs = server.RootCAs
	otherClient, noCertificate, olderVersion := server.Clone(), server.Clone(), server.Clone()
	otherClient.Certificates = otherAuthority.Certificates
	noCertificate.Certificates = nil
	olderVersion.MinVersion, olderVersion.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	for name, testCase := range map[string]struct {
		cfg *tls.Config
		ok  bool
	}{
		"same authority":              {server, true},
		"server of another authority": {otherAuthority, false},
		"client of another authority": {otherClient, false},
		"client without certificate":  {noCertificate, false},
		"older version":               {olderVersion, false},
	} {
		err := readByte(t, l.Addr().String(), testCase.cfg)
		assert.Equal(t, err == nil, testCase.ok, "%s: %v", name, err)
	}
	// The server has a certificate of the right authority, but for another IP address.
	otherIPListener, err := tls.Listen("tcp", "127.0.0.1:0", otherIP)
	assert.NilError(t, err)
	defer otherIPListener.Close()
	go func() {
		if conn, err := otherIPListener.Accept(); err == nil {
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
	}()
	client, err := peerTLS(otherIPFiles)
	assert.NilError(t, err)
	assert.ErrorContains(t, readByte(t, otherIPListener.Addr().String(), client), "127.0.0.1")
}

// readByte connects to addr and reads one byte. Without the read, the client would not learn of a refused certificate in TLS 1.3.
func readByte(t *testing.T, addr string, cfg *tls.Config) error {
	t.Helper()
	c, err := (&tls.Dialer{Config: cfg}).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

// TestConnectionLimit guards against a limit of open connections that admits too many connections or keeps excess ones waiting instead of
// closing them, and against a count of open connections that isn't lowered exactly once when a connection is closed.
func TestConnectionLimit(t *testing.T) {
	logger, err := logs.New(io.Discard, "error")
	assert.NilError(t, err)
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := limitListener(inner, "test", 1, logger)
	defer l.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		return c
	}
	dial()
	first := <-accepted
	_, err = dial().Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, first.Close())
	_ = first.Close() // closing twice must not lower the count of open connections twice
	dial()
	<-accepted
	_, err = dial().Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
