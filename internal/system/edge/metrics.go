package edge

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// newResponseCounter returns a counter of client responses by method and status.
func newResponseCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sedgevale_edge_answers_total", Help: "Answers to clients.",
	}, []string{"method", "status"})
}

// newOutdatedCounter returns a counter of submissions that were read so late that their clients may have given up.
func newOutdatedCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: "sedgevale_edge_outdated_submissions_total", Help: "Submissions that were not forwarded, since they may have been sent before a stall.",
	})
}

// countResponses wraps a handler with middleware that counts its responses.
func (s *Scheduler) countResponses(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		handler.ServeHTTP(recorder, r)
		s.responses.WithLabelValues(methodLabel(r.Method), strconv.Itoa(recorder.status)).Inc()
	})
}

// methodLabel maps methods to a fixed set of label values, so that clients cannot create new ones.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// statusRecorder is an http.ResponseWriter that records the status code.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}
