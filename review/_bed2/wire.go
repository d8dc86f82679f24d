package main

import (
	"net/http"

	"github.com/vmihailenco/msgpack/v5"
)

func marshal(v any) []byte {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // only values of this program are encoded
	}
	return body
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	_, _ = w.Write(marshal(v))
}

// decode decodes the body of a request, or answers 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := msgpack.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
