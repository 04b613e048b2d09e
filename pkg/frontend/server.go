package frontend

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Defaults of ServerConfig.
const (
	// DefaultMaxHeaderBytes is the bound on the request line and headers together.
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultMaxConns is the bound on the connections of one listener.
	DefaultMaxConns = 10_000
	// DefaultHeaderTimeout bounds the time to send a request's headers.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout closes a connection without requests. It is longer
	// than the idle time after which usual HTTP clients close it themselves,
	// so that a request seldom meets a connection that is being closed.
	DefaultIdleTimeout = 120 * time.Second
	// backstopWrite ends a write that no handler has bounded.
	backstopWrite = 5 * time.Minute
)

// ServerConfig configures a Server. Values of 0 take their defaults.
type ServerConfig struct {
	Handler        http.Handler
	TLS            *tls.Config
	Log            logrus.FieldLogger
	MaxHeaderBytes int
	MaxConns       int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server serves one listener, counts the requests in flight and stops
// without cutting them.
type Server struct {
	config           ServerConfig
	http             *http.Server
	inFlight         atomic.Int64
	closeAfterAnswer atomic.Bool
}

// NewServer returns a Server that is not serving yet.
func NewServer(c ServerConfig) *Server {
	if c.MaxHeaderBytes == 0 {
		c.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if c.MaxConns == 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.HeaderTimeout == 0 {
		c.HeaderTimeout = DefaultHeaderTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	s := &Server{config: c}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		MaxHeaderBytes:    c.MaxHeaderBytes,
		ReadHeaderTimeout: c.HeaderTimeout,
		ReadTimeout:       DefaultReadTimeout,
		IdleTimeout:       c.IdleTimeout,
		WriteTimeout:      backstopWrite,
		ConnContext:       connContext,
		ErrorLog:          log.New(logWriter{c.Log}, "", 0),
	}
	return s
}

// Serve accepts connections until Stop. It returns nil after Stop.
func (s *Server) Serve(l net.Listener) error {
	l = &limitListener{Listener: l, soft: int64(s.config.MaxConns)}
	if s.config.TLS != nil {
		t := s.config.TLS.Clone()
		// One request at a time on a connection keeps the bound on
		// connections a bound on requests.
		t.NextProtos = []string{"http/1.1"}
		l = tls.NewListener(l, t)
	}
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// InFlight returns the number of requests being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// CloseAfterAnswer makes each further answer close its connection, so that
// callers open their next one at another VM. New connections are still
// accepted.
func (s *Server) CloseAfterAnswer() { s.closeAfterAnswer.Store(true) }

// Stop accepts no more connections and returns when every request in flight
// is answered. When ctx ends first, it closes the connections that are left
// and returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	s.CloseAfterAnswer()
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return err
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.closeAfterAnswer.Load() {
		w.Header().Set("Connection", "close")
		s.config.Handler.ServeHTTP(w, r)
		return
	}
	s.config.Handler.ServeHTTP(&closingWriter{ResponseWriter: w, server: s}, r)
}

// closingWriter closes the connection after an answer that is written after
// CloseAfterAnswer, even if the request arrived before it.
type closingWriter struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	if w.server.closeAfterAnswer.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

type logWriter struct{ log logrus.FieldLogger }

func (w logWriter) Write(p []byte) (int, error) {
	w.log.Debugf("frontend: %s", p)
	return len(p), nil
}
