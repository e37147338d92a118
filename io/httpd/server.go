package httpd

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/io/sock"
)

const (
	readTimeout  = 5 * time.Second
	writeTimeout = 15 * time.Second
	idleTimeout  = 60 * time.Second
	// handlerTimeout bounds the handling of one request; it is below writeTimeout, so that its error can still be written.
	handlerTimeout = 10 * time.Second
	// closeTimeout bounds the wait of Close for requests in progress.
	closeTimeout   = 2 * time.Second
	maxHeaderBytes = 16 << 10
	// maxConnections bounds the open connections; operators and the platform's checks need a few. The oldest is closed for one more.
	maxConnections = 64
)

// Server serves HTTP requests of operators until it is closed.
type Server struct {
	settings Settings
	listener *sock.Bounded
	http     *http.Server
	done     chan struct{}
}

// New listens at the address of the settings and starts to serve.
func New(settings Settings) (*Server, error) {
	if settings.Logger == nil {
		settings.Logger = hclog.NewNullLogger()
	}
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for operators at %s", settings.Address)
	}
	s := &Server{settings: settings, listener: sock.NewBounded(listener, maxConnections), done: make(chan struct{})}
	s.http = &http.Server{
		Handler:           http.TimeoutHandler(s.routes(), handlerTimeout, "the response took too long\n"),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			settings.Logger.Error("the listener for operators ended", "error", err)
		}
	}()
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ConnectionsClosed returns the number of connections that were closed to make room for others.
func (s *Server) ConnectionsClosed() int64 { return s.listener.Closed() }

// Close stops the server. Requests in progress have closeTimeout to end; after that their connections are closed.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = s.http.Close()
	}
	<-s.done
	return errors.Wrap(err, "closing the listener for operators")
}
