package httplimit

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A client within the limits of the manifest must be served, and one beyond them refused.
func TestHeaders(t *testing.T) {
	inBubble(t, ordinaryLimits(), func(t *testing.T, s *testServer) {
		c := s.connect()
		c.send(get(testHeaderLimit)).expect(http.StatusOK, "a header of the largest size")
		c.send(get(0)).expect(http.StatusOK, "a second request")
		c.send(get(testHeaderLimit+1)).expect(http.StatusRequestHeaderFieldsTooLarge, "a header over the limit")
		c.expect(0, "a connection after a refusal")

		endless := s.connect().send("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 4*testHeaderLimit))
		endless.expect(http.StatusRequestHeaderFieldsTooLarge, "a header without an end")
		lines := s.connect().send(strings.Repeat("\r\n", 4*testHeaderLimit))
		lines.expect(http.StatusBadRequest, "a sequence of empty lines")
	})
}

// A manifest may change the limits at any time, also for connections that are open.
func TestRulesChangeAtRunTime(t *testing.T) {
	inBubble(t, ordinaryLimits(), func(t *testing.T, s *testServer) {
		c := s.connect()
		c.send(get(testHeaderLimit)).expect(http.StatusOK, "a header within the first limit")
		s.rules.Store(&Rules{MaxHeaderBytes: 2 * testHeaderLimit, HeaderTimeout: time.Second, IdleTimeout: time.Second})
		c.send(get(2*testHeaderLimit)).expect(http.StatusOK, "a header within the new limit")
		s.rules.Store(&Rules{MaxHeaderBytes: testHeaderLimit / 2, HeaderTimeout: time.Second, IdleTimeout: time.Second})
		c.send(get(testHeaderLimit)).expect(http.StatusRequestHeaderFieldsTooLarge, "a header over the last limit")
	})
}

func TestSlowClients(t *testing.T) {
	inBubble(t, ordinaryLimits(), func(t *testing.T, s *testServer) {
		start := time.Now()
		slow := s.connect().send("GET / HTTP/1.1\r\nHost: h\r\n")
		time.Sleep(3 * time.Second)
		slow.expectOpen("a header within its timeout")
		slow.expect(http.StatusRequestTimeout, "a header that is not complete in time")
		if took := time.Since(start); took != 3*time.Second+clientMargin {
			t.Errorf("a header is given up after %v", took)
		}

		silent := s.connect()
		start = time.Now()
		silent.expect(0, "a client that sends nothing")
		if took := time.Since(start); took != 3*time.Second+clientMargin {
			t.Errorf("a client that sends nothing is given up after %v", took)
		}

		idle := s.connect()
		idle.send(get(0)).expect(http.StatusOK, "a request")
		time.Sleep(15 * time.Second)
		idle.send(get(0)).expect(http.StatusOK, "a request after the idle timeout")
		start = time.Now()
		idle.expect(0, "a client that stays idle")
		if took := time.Since(start); took != 15*time.Second+clientMargin {
			t.Errorf("an idle client is given up after %v", took)
		}
	})
}

func TestBodies(t *testing.T) {
	body := strings.Repeat("x", testBodyLimit)
	const nearlyAll = testBodyLimit - 1
	for _, c := range []struct {
		name   string
		sent   string
		status int
		run    bool
	}{
		{"the largest body", postLength(testBodyLimit) + body, http.StatusOK, true},
		{"the largest body in a chunk", post("Transfer-Encoding: chunked") + chunks(testBodyLimit, 1) + lastChunk, http.StatusOK, true},
		{"the largest body in the smallest chunks", post("Transfer-Encoding: chunked") + chunks(1, testBodyLimit) + lastChunk, http.StatusOK, true},
		{"an empty body", post("Transfer-Encoding: chunked") + lastChunk, http.StatusOK, true},
		{"a body over the limit that is not sent", postLength(testBodyLimit + 1), http.StatusRequestEntityTooLarge, false},
		{"chunks over the limit", post("Transfer-Encoding: chunked") + chunks(testBodyLimit+1, 1), http.StatusRequestEntityTooLarge, false},
		{"a body that stops", postLength(testBodyLimit) + body[:nearlyAll], http.StatusRequestTimeout, false},
		{"chunks that stop", post("Transfer-Encoding: chunked") + chunks(testBodyLimit, 1), http.StatusRequestTimeout, false},
		{"a malformed chunk", post("Transfer-Encoding: chunked") + "x\r\n", http.StatusBadRequest, false},
		{"an unexpected body that stops", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n", http.StatusOK, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, ordinaryLimits(), func(_ *testing.T, s *testServer) {
				start := time.Now()
				client := s.connect().send(c.sent)
				client.expect(c.status, "the request")
				if run := s.run.Load() == 1; run != c.run {
					t.Errorf("the request has run: %v", run)
				}
				if took := time.Since(start); took > testTimeout {
					t.Errorf("the response takes %v", took)
				}
				if c.run {
					client.send(get(0)).expect(http.StatusOK, "the next request")
					return
				}
				client.expect(0, "the connection after the response")
			})
		})
	}
}

// A body that nobody reads must neither keep the response back nor be taken for the next
// request. If all of it has arrived, the connection is kept.
func TestBodiesThatAreNotRead(t *testing.T) {
	inBubble(t, ordinaryLimits(), func(_ *testing.T, s *testServer) {
		c := s.connect()
		c.send("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc").expect(http.StatusOK, "a request with a body")
		c.send(get(0)).expect(http.StatusOK, "the next request")
		c.send("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n"+get(0)).expect(http.StatusOK, "a request with a part of its body")
		c.expect(0, "the connection after it")
	})
}

// A client that asks before it sends a body must be told to send it, or refused at once.
func TestClientsThatAskBeforeTheySend(t *testing.T) {
	inBubble(t, ordinaryLimits(), func(_ *testing.T, s *testServer) {
		c := s.connect()
		c.send(post("Expect: 100-continue\r\nContent-Length: 3")).expect(http.StatusContinue, "a client that asks")
		c.send("abc").expect(http.StatusOK, "its body")
		c.send(post("Expect: 100-continue\r\nContent-Length: 999999999")).expect(http.StatusRequestEntityTooLarge, "a client that asks for too much")
	})
}

// Bytes that a client holds without sending more are given to others that need them.
func TestStalledBodiesMakeRoom(t *testing.T) {
	limits := ordinaryLimits()
	limits.BodyBytes = 3 * testBodyLimit
	inBubble(t, limits, func(_ *testing.T, s *testServer) {
		first := s.connect().send(postLength(testBodyLimit) + strings.Repeat("x", 5000))
		second := s.connect().send(postLength(testBodyLimit) + strings.Repeat("x", 5000))
		time.Sleep(500 * time.Millisecond)
		second.send(strings.Repeat("x", 5000))
		third := s.connect().send(postLength(testBodyLimit) + strings.Repeat("x", testBodyLimit))
		third.expect(http.StatusOK, "a large body while the bytes are short")
		first.expect(http.StatusServiceUnavailable, "the body that was longest without progress")
		second.expectOpen("a body that makes progress")
		second.send(strings.Repeat("x", testBodyLimit-10_000)).expect(http.StatusOK, "a body that makes progress")
	})
}

// Large bodies must not keep small ones from being served, and must be told to come back.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	limits := ordinaryLimits()
	limits.BodyBytes = 2 * testBodyLimit
	inBubble(t, limits, func(_ *testing.T, s *testServer) {
		// It makes progress all the time, and is too slow all the same.
		busy := s.connect().send(postLength(testBodyLimit))
		go func() {
			for range 100 {
				_, _ = busy.Write([]byte(strings.Repeat("x", progressBytes/8)))
				time.Sleep(25 * time.Millisecond)
			}
		}()
		time.Sleep(time.Millisecond)
		s.connect().send(postLength(1000)+strings.Repeat("x", 1000)).expect(http.StatusOK, "a small body")
		s.connect().send(postLength(testBodyLimit)).expect(http.StatusServiceUnavailable, "another large body")
		busy.expect(http.StatusRequestTimeout, "a body that is too slow")
	})
}

// Clients that complete their requests keep their connections in a flood of new ones, and
// those of requests that are being processed are never closed.
func TestConnectionsWithoutProgressMakeRoom(t *testing.T) {
	const most = 40
	limits := ordinaryLimits()
	limits.Connections = most
	inBubble(t, limits, func(_ *testing.T, s *testServer) {
		var proven []*testClient
		for range most / 8 {
			c := s.connect()
			c.send(get(0)).expect(http.StatusOK, "a request")
			proven = append(proven, c)
		}
		held := s.connect().send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
		var silent []*testClient
		for range 2 * most {
			silent = append(silent, s.connect())
		}
		synctest.Wait()
		if open := s.guard.Connections(); open > most {
			t.Errorf("%d connections are open, at most %d are allowed", open, most)
		}
		silent[0].expect(0, "the oldest silent connection")
		silent[len(silent)-1].expectOpen("the newest silent connection")
		for _, c := range proven {
			c.send(get(0)).expect(http.StatusOK, "a request of a client that has completed one")
		}
		s.connect().send(get(0)).expect(http.StatusOK, "a request of a new client")
		close(s.hold)
		held.expect(http.StatusOK, "a request that was being processed")
	})
}

// When all connections have a request that is being processed, a new one is refused.
func TestNewConnectionIsRefusedWhileAllAreServed(t *testing.T) {
	const most = 16
	limits := ordinaryLimits()
	limits.Connections = most
	inBubble(t, limits, func(_ *testing.T, s *testServer) {
		var held []*testClient
		for range most * 3 / 4 {
			held = append(held, s.connect().send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n"))
		}
		s.connect().expect(http.StatusServiceUnavailable, "a new connection")
		close(s.hold)
		for _, c := range held {
			c.expect(http.StatusOK, "a request that was being processed")
		}
	})
}
