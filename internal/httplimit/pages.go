package httplimit

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// WithoutBodies returns a handler that refuses requests with a body.
func (g *Guard) WithoutBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if request := g.Begin(r); !request.read {
			request.note(reasonBodyTooLarge)
			request.Abandon()
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// pageWait is how long a request waits for others of AtOnce.
const pageWait = 2 * time.Second

// AtOnce returns a handler that serves up to a number of requests at the same time. Others
// wait, and are refused with 503 if it takes long.
func AtOnce(count int, handler http.Handler) http.Handler {
	serving := make(chan struct{}, count)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), pageWait)
		defer cancel()
		select {
		case serving <- struct{}{}:
			defer func() { <-serving }()
			handler.ServeHTTP(w, r)
		case <-ctx.Done():
			w.Header().Set("Retry-After", strconv.Itoa(retrySeconds))
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
