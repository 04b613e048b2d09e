package frontend

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/model"
)

// PoisonAdmin lists and lifts the verdicts on fingerprints of requests that
// were running when an upstream was lost.
type PoisonAdmin interface {
	List() []model.PoisonEntry
	// Lift clears the verdict in the whole tier and reports whether there
	// was one.
	Lift(ctx context.Context, fingerprint uint64) (bool, error)
}

// OperatorsConfig configures the operators' handler.
type OperatorsConfig struct {
	// Token is the bearer token. When it is empty only /healthz and /readyz
	// answer.
	Token     string
	View      model.ViewSource
	Readiness *Readiness
	Poison    PoisonAdmin
	Metrics   http.Handler
	// InFlight returns the number of callers' requests being served.
	InFlight func() int
}

// operators is the handler of the operators' interface.
type operators struct {
	OperatorsConfig
	tokenHash [sha256.Size]byte
}

// NewOperators returns the handler of the operators' interface.
func NewOperators(c OperatorsConfig) http.Handler {
	h := &operators{OperatorsConfig: c, tokenHash: sha256.Sum256([]byte(c.Token))}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", h.requireMethod(http.MethodGet, h.healthz))
	mux.HandleFunc("/readyz", h.requireMethod(http.MethodGet, h.readyz))
	mux.HandleFunc("/metrics", h.requireToken(h.requireMethod(http.MethodGet, c.Metrics.ServeHTTP)))
	mux.HandleFunc("/admin/status", h.requireToken(h.requireMethod(http.MethodGet, h.status)))
	mux.HandleFunc("/admin/poison", h.requireToken(h.requireMethod(http.MethodGet, h.listPoison)))
	mux.HandleFunc("/admin/poison/{fingerprint}", h.requireToken(h.requireMethod(http.MethodDelete, h.liftPoison)))
	mux.HandleFunc("/", h.requireToken(func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, "", errs.Refuse(errs.InvalidRequest, "unknown path"), http.StatusNotFound)
	}))
	return mux
}

// requireMethod refuses requests of another method than want. HEAD is served
// where GET is.
func (h *operators) requireMethod(want string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != want && !(want == http.MethodGet && r.Method == http.MethodHead) {
			w.Header().Set("Allow", want)
			refusal := errs.Refuse(errs.InvalidRequest, "method %s is not allowed, use %s", r.Method, want)
			writeRefusal(w, "", refusal, http.StatusMethodNotAllowed)
			return
		}
		next(w, r)
	}
}

// requireToken refuses requests without the bearer token. It compares hashes
// in constant time, so that the time taken tells nothing about the token, not
// even its length.
func (h *operators) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		got := sha256.Sum256([]byte(token))
		same := subtle.ConstantTimeCompare(got[:], h.tokenHash[:]) == 1
		if h.Token == "" || !strings.EqualFold(scheme, "Bearer") || !same {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeRefusal(w, "", errs.Refuse(errs.Unauthorized, "a valid bearer token is required"), 0)
			return
		}
		next(w, r)
	}
}

func (h *operators) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, []byte(`{"healthy":true}`))
}

func (h *operators) readyz(w http.ResponseWriter, _ *http.Request) {
	if !h.Readiness.Ready() {
		writeJSON(w, http.StatusServiceUnavailable, []byte(`{"ready":false}`))
		return
	}
	writeJSON(w, http.StatusOK, []byte(`{"ready":true}`))
}

func (h *operators) status(w http.ResponseWriter, _ *http.Request) {
	writeOperatorAnswer(w, newStatus(h.View.Current(), h.InFlight()))
}

// poisonEntryBody is one entry of the answer of /admin/poison.
type poisonEntryBody struct {
	Fingerprint string `json:"fingerprint"`
	Losses      int    `json:"losses"`
	Blocked     bool   `json:"blocked"`
	TTLMS       int64  `json:"ttl_ms"`
}

func (h *operators) listPoison(w http.ResponseWriter, _ *http.Request) {
	list := []poisonEntryBody{}
	for _, e := range h.Poison.List() {
		if e.Lifted {
			continue
		}
		list = append(list, poisonEntryBody{
			Fingerprint: fmt.Sprintf("%016x", e.Fingerprint),
			Losses:      e.Losses, Blocked: e.Blocked, TTLMS: e.TTL.Milliseconds(),
		})
	}
	writeOperatorAnswer(w, list)
}

func (h *operators) liftPoison(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := strconv.ParseUint(r.PathValue("fingerprint"), 16, 64)
	if err != nil {
		writeRefusal(w, "", errs.Refuse(errs.InvalidRequest, "a fingerprint is up to 16 hexadecimal digits"), 0)
		return
	}
	found, err := h.Poison.Lift(r.Context(), fingerprint)
	if err != nil {
		writeRefusal(w, "", errs.As(err), 0)
		return
	}
	if !found {
		writeRefusal(w, "", errs.Refuse(errs.InvalidRequest, "no verdict on this fingerprint"), http.StatusNotFound)
		return
	}
	writeOperatorAnswer(w, map[string]bool{"lifted": true})
}

// writeOperatorAnswer sends body as JSON with status 200.
func writeOperatorAnswer(w http.ResponseWriter, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		writeRefusal(w, "", errs.Refuse(errs.Internal, "%v", err), 0)
		return
	}
	writeJSON(w, http.StatusOK, encoded)
}
