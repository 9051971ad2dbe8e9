// Package rpc makes the HTTP servers and clients between the processes.
//
// They speak HTTP/2 with mutual TLS, or in plain text if a setting says so.
// Certificates come from files and are read again when the files change. The
// role of a process is the organisational unit of its certificate.
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

// Times and sizes of connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 5 * time.Minute
	dialTimeout    = 2 * time.Second
	pingAfter      = 2 * time.Second
	pingTimeout    = 2 * time.Second
	maxHeaderBytes = 64 << 10
	maxStreams     = 10000
	// maxFrame is the smallest that HTTP/2 allows. A client holds a buffer of
	// this size for each open stream.
	maxFrame = 16 << 10
)

// compressFrom is the size from which a message is compressed. Smaller ones
// cost far more processor time than the bytes are worth.
const compressFrom = 4 << 10

// SmallMessages keeps a service from compressing its small messages.
var SmallMessages = connect.WithCompressMinBytes(compressFrom)

// FastCompression compresses the large messages of a service at the least cost in
// processor time and memory. What a relay tells its zone, many times a second, is hardly
// smaller with more effort.
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

// Server returns a server of the handler, with mutual TLS unless plain.
func (k *Keys) Server(h http.Handler) (*http.Server, error) {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols(),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			MaxReadFrameSize:     maxFrame,
			SendPingTimeout:      pingAfter,
			PingTimeout:          pingTimeout,
		},
	}
	if k.Plain {
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
	if k.Plain {
		err = s.Serve(l)
	} else {
		err = s.ServeTLS(l, "", "")
	}
	return IgnoreClosed(errors.Wrapf(err, "serve %s", l.Addr()))
}

// IgnoreClosed returns the error of a server, but not that it was closed.
func IgnoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Client returns a client of the other processes.
func (k *Keys) Client() (*http.Client, error) {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(k.Plain)
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:           p,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: dialTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	if !k.Plain {
		cfg, err := k.clientTLS()
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = cfg
	}
	return &http.Client{Transport: t}, nil
}

// URL returns the base address of a process.
func (k *Keys) URL(address string) string {
	if k.Plain {
		return "http://" + address
	}
	return "https://" + address
}
