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
	// DefaultMaxHeaderBytes bounds the request line and the headers together.
	DefaultMaxHeaderBytes = 16 << 10
	// DefaultMaxConns bounds the open connections of one listener.
	DefaultMaxConns = 10_000
	// DefaultHeaderTimeout bounds the time that a client takes to send a
	// request's headers.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout is the time without requests after which the server
	// closes a connection. Common HTTP clients close an idle connection sooner,
	// so a request is seldom sent on a connection that the server is closing.
	DefaultIdleTimeout = 120 * time.Second
	// fallbackWriteTimeout bounds the write of an answer whose handler sets no
	// write deadline.
	fallbackWriteTimeout = 5 * time.Minute
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

// Server serves HTTP on one listener, counts the requests in flight and lets
// them finish when it stops.
type Server struct {
	config           ServerConfig
	httpServer       *http.Server
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
	s.httpServer = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		MaxHeaderBytes:    c.MaxHeaderBytes,
		ReadHeaderTimeout: c.HeaderTimeout,
		ReadTimeout:       DefaultReadTimeout,
		IdleTimeout:       c.IdleTimeout,
		WriteTimeout:      fallbackWriteTimeout,
		ConnContext:       markOverLimit,
		ErrorLog:          log.New(debugLogWriter{c.Log}, "", 0),
	}
	return s
}

// Serve accepts connections until Stop. It returns nil after Stop.
func (s *Server) Serve(l net.Listener) error {
	l = &limitListener{Listener: l, softLimit: int64(s.config.MaxConns)}
	if s.config.TLS != nil {
		t := s.config.TLS.Clone()
		// HTTP/1.1 carries one request at a time on a connection, so the limit
		// on connections also limits the requests in flight. HTTP/2 would not.
		t.NextProtos = []string{"http/1.1"}
		l = tls.NewListener(l, t)
	}
	err := s.httpServer.Serve(l)
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
// is answered. When ctx ends first, it closes the remaining connections and
// returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	s.CloseAfterAnswer()
	err := s.httpServer.Shutdown(ctx)
	if err != nil {
		_ = s.httpServer.Close()
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

// debugLogWriter writes the error log of net/http at debug level.
type debugLogWriter struct{ log logrus.FieldLogger }

func (w debugLogWriter) Write(p []byte) (int, error) {
	w.log.Debugf("frontend: HTTP server reports: %s", p)
	return len(p), nil
}
