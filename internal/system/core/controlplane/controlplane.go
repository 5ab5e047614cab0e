// Package controlplane serves the HTTP API through which operators read and change the configuration of the cluster.
package controlplane

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/internal/resourcequota"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
)

const (
	configPath     = "/sedgevale/config"
	maxConfigBytes = clusterconfig.MaxBytes
	readTimeout    = 800 * time.Millisecond

	// maxChanges limits the changes in progress, each of which holds several texts of the configuration. Others wait.
	maxChanges = 8
	// maxReads limits the reads in progress, each of which calls a quorum. Others wait.
	maxReads = 32

	// ChangeTimeout limits the wait until a quorum has chosen a change.
	ChangeTimeout = 1800 * time.Millisecond
)

// changeLimits bound the body of a change. It is held as it is sent and parsed, and as the texts of the old and the new
// configuration.
var changeLimits = resourcequota.BodyLimits{MaxBytes: maxConfigBytes, Copies: 4}

// ConfigStore gives access to the replicated configuration. Its errors have codes of package result.
type ConfigStore interface {
	// ReadConfig returns the text of the newest configuration, confirmed by a quorum.
	ReadConfig(ctx context.Context) ([]byte, error)
	// ChangeConfig replaces the configuration by the body, or applies the patch in the body to it, if baseVersion is the
	// current version. It is idempotent: it returns no error for a change that was already applied.
	ChangeConfig(ctx context.Context, patch bool, baseVersion int64, body []byte) error
}

// server serves requests from a ConfigStore.
type server struct {
	configs ConfigStore
	logger  logr.Logger
	changes chan struct{} // holds a token for each change in progress
	reads   chan struct{} // holds a token for each read in progress
}

// Handler returns a handler of GET, PUT and PATCH requests for the configuration.
func Handler(configs ConfigStore, logger logr.Logger) http.Handler {
	s := &server{configs: configs, logger: logger, changes: make(chan struct{}, maxChanges), reads: make(chan struct{}, maxReads)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, s.getConfig)
	mux.HandleFunc("PUT "+configPath, func(w http.ResponseWriter, r *http.Request) { s.changeConfig(w, r, false) })
	mux.HandleFunc("PATCH "+configPath, func(w http.ResponseWriter, r *http.Request) { s.changeConfig(w, r, true) })
	return mux
}

func (s *server) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	if !acquire(ctx, w, s.reads) {
		return
	}
	text, err := s.configs.ReadConfig(ctx)
	<-s.reads
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// changeConfig applies a change. The change continues if the operator closes the connection.
func (s *server) changeConfig(w http.ResponseWriter, r *http.Request, patch bool) {
	body, reservation, err := resourcequota.ReadBody(r, changeLimits)
	defer reservation.Release()
	if err != nil {
		resourcequota.WriteRefusal(w, err)
		return
	}
	baseVersion, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), ChangeTimeout)
	defer cancel()
	if !acquire(ctx, w, s.changes) {
		return
	}
	defer func() { <-s.changes }()
	if err := s.configs.ChangeConfig(ctx, patch, baseVersion, body); err != nil {
		s.logger.V(1).Info("configuration change failed; returning the error to the operator", "error", err.Error())
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// acquire adds a token to a semaphore. If there is no room until ctx ends, it writes a refusal and returns false.
func acquire(ctx context.Context, w http.ResponseWriter, semaphore chan struct{}) bool {
	select {
	case semaphore <- struct{}{}:
		return true
	default:
	}
	select {
	case semaphore <- struct{}{}:
		return true
	case <-ctx.Done():
		w.Header().Set("Retry-After", resourcequota.RetryAfterSeconds)
		writeError(w, result.Errorf(result.NotReady, "%d requests of this kind are in progress", cap(semaphore)))
		return false
	}
}

// parseIfMatch returns the version in an If-Match header, or 0 if the header is empty.
func parseIfMatch(text string) (int64, error) {
	text = strings.Trim(strings.TrimSpace(text), `"`)
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, result.Errorf(result.Invalid, "If-Match: %q is no version", text)
	}
	return version, nil
}

// writeError responds with an error. The error's result code determines the HTTP status.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch result.CodeOf(err) {
	case result.Conflict:
		status = http.StatusPreconditionFailed
	case result.Invalid, result.BadRequest:
		status = http.StatusBadRequest
	case result.OutcomeUnknown, result.StorageFailed, result.TransportFailed:
		status = http.StatusGatewayTimeout
	}
	http.Error(w, err.Error(), status)
}
