package edge

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// newResponseCounter returns the counter of responses to clients, by method and status.
func newResponseCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sedgevale_edge_answers_total", Help: "Answers to clients.",
	}, []string{"method", "status"})
}

// countResponses wraps a handler so that its responses are counted.
func (s *Scheduler) countResponses(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		handler.ServeHTTP(recorder, r)
		s.responses.WithLabelValues(methodLabel(r.Method), strconv.Itoa(recorder.status)).Inc()
	})
}

// methodLabel bounds the number of label values that clients can cause.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends a status.
func (s *statusRecorder) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}
