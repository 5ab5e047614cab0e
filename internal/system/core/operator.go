package core

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sedgevale/internal/system/result"
)

const (
	configPath      = "/sedgevale/config"
	maxConfigBytes  = 16 << 20
	operatorTimeout = 1800 * time.Millisecond
	readTimeout     = 800 * time.Millisecond
)

// operatorHandler serves the operator's calls.
func (c *Core) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, c.getConfig)
	mux.HandleFunc("PUT "+configPath, func(w http.ResponseWriter, r *http.Request) { c.changeConfig(w, r, false) })
	mux.HandleFunc("PATCH "+configPath, func(w http.ResponseWriter, r *http.Request) { c.changeConfig(w, r, true) })
	return mux
}

// getConfig returns the newest configuration, confirmed by a quorum.
func (c *Core) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	if err := c.read(ctx, configRegister); err != nil {
		writeError(w, result.Errorf(result.Unavailable, "no quorum: %w", err))
		return
	}
	state := c.currentConfig()
	if state == nil {
		writeError(w, result.Errorf(result.NotReady, "no configuration yet"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(state.record.Text)
}

// changeConfig takes a whole configuration or a patch.
func (c *Core) changeConfig(w http.ResponseWriter, r *http.Request, patch bool) {
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
	match, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	order := newOperatorChange(patch, match, body)
	if _, err := c.propose(ctx, configRegister, order.apply); err != nil {
		c.logger.V(1).Info("configuration change rejected", "error", err.Error())
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func parseIfMatch(text string) (int64, error) {
	text = strings.Trim(strings.TrimSpace(text), `"`)
	if text == "" {
		return 0, nil
	}
	match, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, result.Errorf(result.Invalid, "If-Match: %q is no version", text)
	}
	return match, nil
}

// writeError answers an operator's call with an error.
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
