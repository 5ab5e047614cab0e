// Package controlplane serves operators' HTTP requests: reading and changing the configuration of the cluster.
package controlplane

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/internal/system/result"
)

const (
	configPath     = "/sedgevale/config"
	maxConfigBytes = 16 << 20
	readTimeout    = 800 * time.Millisecond

	// ChangeTimeout bounds the wait for a change to be chosen by a quorum.
	ChangeTimeout = 1800 * time.Millisecond
)

// ConfigStore is the replicated configuration. Its errors have codes of package result.
type ConfigStore interface {
	// ReadConfig returns the newest configuration as its operator sent it, confirmed by a quorum.
	ReadConfig(ctx context.Context) ([]byte, error)
	// ChangeConfig replaces the configuration by the body, or changes it by the patch in the body, if the version given is
	// the current one. It is idempotent: a change that was made before is no error.
	ChangeConfig(ctx context.Context, patch bool, baseVersion int64, body []byte) error
}

// server answers requests out of a ConfigStore.
type server struct {
	configs ConfigStore
	logger  logr.Logger
}

// Handler serves GET, PUT and PATCH of the configuration.
func Handler(configs ConfigStore, logger logr.Logger) http.Handler {
	s := &server{configs: configs, logger: logger}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, s.getConfig)
	mux.HandleFunc("PUT "+configPath, func(w http.ResponseWriter, r *http.Request) { s.changeConfig(w, r, false) })
	mux.HandleFunc("PATCH "+configPath, func(w http.ResponseWriter, r *http.Request) { s.changeConfig(w, r, true) })
	return mux
}

func (s *server) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	text, err := s.configs.ReadConfig(ctx)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// changeConfig makes a change, which goes on when the operator hangs up.
func (s *server) changeConfig(w http.ResponseWriter, r *http.Request, patch bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "body: more than "+strconv.Itoa(maxConfigBytes)+" bytes", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		writeError(w, result.Errorf(result.Invalid, "body: %w", err))
		return
	}
	baseVersion, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), ChangeTimeout)
	defer cancel()
	if err := s.configs.ChangeConfig(ctx, patch, baseVersion, body); err != nil {
		s.logger.V(1).Info("configuration change rejected", "error", err.Error())
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parseIfMatch returns the version in an If-Match header, 0 for an empty one.
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

// writeError answers a request with an error, whose result code gives the status.
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
