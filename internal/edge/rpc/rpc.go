// Package rpc creates the HTTP servers and clients for calls between processes.
//
// They use HTTP/2 with mutual TLS, or plaintext if the settings allow it.
// Certificates are read from files and reloaded when the files change. The role of
// a process is the organisational unit of its certificate.
//
// # Usage
//
//	keys := rpc.Keys{Cert: "tls.crt", Key: "tls.key", CA: "ca.crt"}
//	server, err := keys.Server(handler)
//	client, err := keys.Client()
package rpc

import (
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// MaxHeaderBytes bounds the header of each call and of each answer, also of an agent's upstream.
const MaxHeaderBytes = 64 << 10

// Timeouts and limits of connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 5 * time.Minute
	dialTimeout   = 2 * time.Second
	pingInterval  = 2 * time.Second
	pingTimeout   = 2 * time.Second
	maxStreams    = 10000
	// maxFrameBytes is the minimum that HTTP/2 allows. A client allocates a buffer of
	// this size for each open stream.
	maxFrameBytes = 16 << 10
)

// minCompressBytes is the minimum size of compressed messages. Compressing smaller ones
// costs far more CPU time than the saved bytes are worth.
const minCompressBytes = 4 << 10

// CompressLargeOnly is an option of a service that leaves small messages uncompressed.
var CompressLargeOnly = connect.WithCompressMinBytes(minCompressBytes)

// Maximum sizes of uncompressed messages between gateways. A request holds at most the loads of
// all upstreams, a response the whole state of the store.
const (
	maxRequestBytes  = 4 << 20
	maxResponseBytes = 16 << 20
)

// LimitRequests is an option of a service that rejects larger requests, and LimitResponses one
// of a client that fails on larger responses.
var (
	LimitRequests  = connect.WithReadMaxBytes(maxRequestBytes)
	LimitResponses = connect.WithReadMaxBytes(maxResponseBytes)
)

// FastCompression is an option of a service that compresses large messages with minimal
// CPU time and memory. The messages that a relay sends to its availability zone many
// times per second hardly get smaller at higher levels.
var FastCompression = connect.WithCompression("gzip", newDecompressor, newCompressor)

func newDecompressor() connect.Decompressor { return new(gzip.Reader) }

func newCompressor() connect.Compressor {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}
	return w
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Server returns a server for the handler, with mutual TLS unless Plaintext is set.
func (k *Keys) Server(h http.Handler) (*http.Server, error) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		Protocols:         protocols(),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			MaxReadFrameSize:     maxFrameBytes,
			SendPingTimeout:      pingInterval,
			PingTimeout:          pingTimeout,
		},
	}
	if k.Plaintext {
		return s, nil
	}
	cfg, err := k.serverTLS()
	if err != nil {
		return nil, err
	}
	s.TLSConfig = cfg
	return s, nil
}

// Serve accepts connections until the server is shut down.
func (k *Keys) Serve(s *http.Server, l net.Listener) error {
	var err error
	if k.Plaintext {
		err = s.Serve(l)
	} else {
		err = s.ServeTLS(l, "", "")
	}
	return IgnoreClosed(errors.Wrapf(err, "serve %s", l.Addr()))
}

// IgnoreClosed returns nil for the error of a closed server, and any other error as it
// is.
func IgnoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Client returns a client for calls to other processes.
func (k *Keys) Client() (*http.Client, error) {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(k.Plaintext)
	t := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:              p,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: MaxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval,
			PingTimeout:     pingTimeout,
		},
	}
	if !k.Plaintext {
		cfg, err := k.clientTLS()
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = cfg
	}
	return &http.Client{Transport: t}, nil
}

// URL returns the base URL of a process.
func (k *Keys) URL(address string) string {
	if k.Plaintext {
		return "http://" + address
	}
	return "https://" + address
}
