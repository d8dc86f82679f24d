// Package httplimit bounds what the clients of an HTTP server take from the process:
// connections and their descriptors, the bytes of headers and bodies, the memory of
// decoded requests, and time.
//
// Guard is the listener of a server and follows each of its connections. A connection is
// idle, or it reads a header, or it serves a request, which may read its body. When
// connections or bytes run short, the connection that has been idle or without progress
// for longest is closed first. A connection whose request is being processed is never
// closed, since its client could not tell whether the request has run.
//
// net/http parses the requests. docs/design/untrusted-clients.md compares the limits with
// its defaults.
package httplimit
