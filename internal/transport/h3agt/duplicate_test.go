package h3agt_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// An upstream of another system answered twice, the second time late, on a connection that
// carried the next request by then. Connections to the upstream were reused for safe
// requests here too, and the next caller got the answer to an earlier request.
func TestASecondCopyOfAnAnswerReachesNoOtherCaller(t *testing.T) {
	s := newSystem(t, http.HandlerFunc(answerEachRequestTwice))
	client := s.client()
	for i := range 6 {
		path := fmt.Sprintf("/feeds/%d", i)
		if _, _, body := s.do(client, s.request("GET", path, "", nil)); body != path {
			t.Errorf("the caller of %s got the answer to %q", path, body)
		}
	}
}

// answerEachRequestTwice answers with the path of the request. If another request comes on
// the same connection, the second copy of the previous answer is sent first.
func answerEachRequestTwice(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()

	previous := ""
	for err == nil {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		if _, err = io.WriteString(conn, previous+answer); err == nil {
			previous = answer
			r, err = http.ReadRequest(bufio.NewReader(buffered))
		}
	}
}
